#include "gateway/allowance_driver.h"

#include <algorithm>
#include <string>
#include <vector>

#include "allowance/balances_func.h"
#include "allowance/owner_func.h"
#include "clock/now_func.h"
#include "fleet/view_func.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "metrics/registry_func.h"

namespace poplarfork::gateway {

namespace {

// Time in which asks are collected, so that those for the same owner share a
// datagram. The overdraft covers the requests of this time.
constexpr base::Duration kAskDelay = std::chrono::milliseconds(5);

// Time for which the owner of a group is not determined again. In a large
// fleet, ranking all members takes a millisecond.
constexpr base::Duration kOwnerRankLifetime = std::chrono::seconds(1);

// Time for which an owner that did not reply is passed over.
constexpr base::Duration kOwnerSuspicionTime = std::chrono::seconds(1);

// Number of members that are ranked, of which the first one that is not passed
// over is asked.
constexpr std::size_t kRankedMembers = 4;

// Longest time without an update of the contact of a group that is asked for.
constexpr base::Duration kContactLifetime = std::chrono::milliseconds(500);

void UpdateContact(Gateway& gateway,
                   std::uint32_t group,
                   double contact_share,
                   base::TimePoint now) {
  allowance::SetContact(
      gateway.allowance.owner, group, contact_share,
      fleet::IsFirstInContact(gateway.view, allowance::GroupKey(group), now),
      now);
}

// Returns the member to ask for tokens of the accounts of a group.
const base::DaemonId& FindOwner(Gateway& gateway,
                                std::uint32_t group,
                                base::TimePoint now) {
  AllowanceState& state = gateway.allowance;
  RankedOwner& owner = state.ranked_owners[group];
  if (!owner.id.value.empty() && now - owner.ranked_at < kOwnerRankLifetime)
    return owner.id;
  const std::vector<base::DaemonId> ranked = fleet::RankMembers(
      gateway.view, allowance::GroupKey(group), kRankedMembers, now);
  const auto usable = std::find_if(
      ranked.begin(), ranked.end(), [&state, now](const base::DaemonId& id) {
        const auto found = state.suspected_until.find(id);
        return found == state.suspected_until.end() || found->second <= now;
      });
  owner = {usable != ranked.end() ? *usable : ranked.front(), now};
  return owner.id;
}

void SuspectOwner(Gateway& gateway, std::uint32_t group, base::TimePoint now) {
  AllowanceState& state = gateway.allowance;
  const auto found = state.ranked_owners.find(group);
  if (found == state.ranked_owners.end())
    return;
  const base::DaemonId id = found->second.id;
  state.ranked_owners.erase(found);
  state.suspected_until[id] = now + kOwnerSuspicionTime;
  std::erase_if(state.ranked_owners,
                [&id](const auto& entry) { return entry.second.id == id; });
  Log(gateway, "token_owner_suspected",
      {{"owner", id.value}, {"group", group}});
  metrics::IncrementCounter(gateway.metrics, "token_owners_suspected_total");
}

// Sends asks or grants in datagrams of limited size.
template <class Messages>
void SendInParts(Gateway& gateway,
                 const base::DaemonId& to,
                 const Messages& messages) {
  for (std::size_t first = 0; first < messages.size();
       first += allowance::kMaxAsksPerDatagram) {
    const std::size_t last =
        std::min(first + allowance::kMaxAsksPerDatagram, messages.size());
    SendToDaemon(
        gateway, to,
        Messages(messages.begin() + static_cast<std::ptrdiff_t>(first),
                 messages.begin() + static_cast<std::ptrdiff_t>(last)));
  }
}

void SendDueAsks(Gateway& gateway) {
  const base::TimePoint now = clock::Now();
  const allowance::DueAsks due =
      allowance::TakeDueAsks(gateway.dispatcher.balances, now);
  for (const std::uint32_t group : due.silent_groups)
    SuspectOwner(gateway, group, now);
  std::map<base::DaemonId, allowance::TokenAsks> asks_by_owner;
  for (const allowance::TokenAsk& ask : due.asks)
    asks_by_owner[FindOwner(gateway, allowance::GroupOf(ask.account), now)]
        .push_back(ask);
  for (const auto& [owner, asks] : asks_by_owner)
    SendInParts(gateway, owner, asks);
  if (!due.asks.empty())
    metrics::IncrementCounter(gateway.metrics, "token_asks_total",
                              due.asks.size());
}

}  // namespace

void InstallAccountLimits(Gateway& gateway) {
  gateway.dispatcher.balances.accounts = allowance::AccountTable(
      gateway.configuration, &gateway.configuration->accounts);
}

void ArmAllowanceTimer(Gateway& gateway) {
  const base::TimePoint wake_at =
      allowance::NextWakeUp(gateway.dispatcher.balances);
  AllowanceState& state = gateway.allowance;
  if (wake_at >= state.timer_expiry)
    return;
  const base::TimePoint now = clock::Now();
  const base::Duration delay = std::max(wake_at - now, kAskDelay);
  if (now + delay >= state.timer_expiry)
    return;
  state.timer_expiry = now + delay;
  state.timer.expires_after(delay);
  state.timer.async_wait([&gateway](const boost::system::error_code& error) {
    if (error)
      return;
    gateway.allowance.timer_expiry = base::TimePoint::max();
    SendDueAsks(gateway);
    ArmAllowanceTimer(gateway);
  });
}

void MaintainAllowance(Gateway& gateway) {
  const base::TimePoint now = clock::Now();
  AllowanceState& state = gateway.allowance;
  gateway.dispatcher.balances.known_members = fleet::CountMembers(gateway.view);
  std::erase_if(state.suspected_until,
                [now](const auto& entry) { return entry.second <= now; });
  std::erase_if(state.ranked_owners, [now](const auto& entry) {
    return now - entry.second.ranked_at >= kOwnerRankLifetime;
  });
  if (!state.owner.groups.empty()) {
    const double contact_share = fleet::ContactShare(gateway.view, now);
    for (const auto& [group, buckets] : state.owner.groups)
      UpdateContact(gateway, group, contact_share, now);
    allowance::EvictIdleBuckets(state.owner, now);
  }
  std::size_t buckets = 0;
  for (const auto& [group, owned] : state.owner.groups)
    buckets += owned.buckets.size();
  metrics::SetGauge(gateway.metrics, "token_buckets",
                    static_cast<double>(buckets));
  metrics::SetGauge(
      gateway.metrics, "token_balances",
      static_cast<double>(gateway.dispatcher.balances.by_account.size()));
}

void OnTokenAsks(Gateway& gateway,
                 const base::DaemonId& from,
                 const allowance::TokenAsks& asks) {
  const base::TimePoint now = clock::Now();
  allowance::Owner& owner = gateway.allowance.owner;
  allowance::TokenGrants grants;
  for (const allowance::TokenAsk& ask : asks) {
    const std::uint32_t group = allowance::GroupOf(ask.account);
    const auto owned = owner.groups.find(group);
    if (owned == owner.groups.end() ||
        now - owned->second.advanced_at >= kContactLifetime)
      UpdateContact(gateway, group, fleet::ContactShare(gateway.view, now),
                    now);
    const auto grant = allowance::OnTokenAsk(
        owner, from, ask,
        allowance::FindLimit(gateway.dispatcher.balances.accounts, ask.account),
        now);
    if (grant)
      grants.push_back(*grant);
  }
  metrics::IncrementCounter(gateway.metrics, "token_grants_total",
                            grants.size());
  SendInParts(gateway, from, grants);
}

void OnTokenGrants(Gateway& gateway, const allowance::TokenGrants& grants) {
  const base::TimePoint now = clock::Now();
  for (const allowance::TokenGrant& grant : grants)
    allowance::OnTokenGrant(gateway.dispatcher.balances, grant, now);
  ArmAllowanceTimer(gateway);
}

}  // namespace poplarfork::gateway
