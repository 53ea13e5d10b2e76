#include "dispatch/account_load_func.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace poplarfork::dispatch {

namespace {

// Time constants of the counts. A surge of some seconds hardly changes what is
// usual, and a grant is remembered for longer than most requests wait.
constexpr double kUsualSeconds = 60;
constexpr double kRecentSeconds = 2;

// Number of grants that are added to both sides of the comparison, so that
// accounts with few requests are not judged by one of them.
constexpr double kPriorGrants = 2;

// An account gives way to another whose served share is smaller by this factor.
// An account that sends 7.5 times its usual load then gets up to twice the
// share of the others, which is more than a quarter of what they get per
// request.
constexpr double kOvertakingFactor = 2;

// Time without a grant after which the counts of an account are dropped, and
// interval at which this is checked.
constexpr base::Duration kAccountIdleTime = std::chrono::seconds(60);
constexpr base::Duration kSweepInterval = std::chrono::seconds(10);

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void Decay(AccountLoad& load, base::TimePoint now) {
  const double seconds = Seconds(now - load.decayed_at);
  load.usual_grants *= std::exp(-seconds / kUsualSeconds);
  load.recent_grants *= std::exp(-seconds / kRecentSeconds);
  load.decayed_at = now;
}

void DropIdleAccounts(ShardState& shard_state, base::TimePoint now) {
  if (now - shard_state.account_loads_swept_at < kSweepInterval)
    return;
  shard_state.account_loads_swept_at = now;
  std::erase_if(shard_state.account_loads, [now](const auto& entry) {
    return now - entry.second.last_grant_at > kAccountIdleTime;
  });
}

// Returns the number of grants per second that are usual for the account. That
// of an account without any is taken as one.
double UsualRate(const ShardState& shard_state,
                 const base::AccountId& account,
                 base::TimePoint now) {
  const auto found = shard_state.account_loads.find(account);
  if (found == shard_state.account_loads.end())
    return 1;
  AccountLoad load = found->second;
  Decay(load, now);
  const double seconds =
      kUsualSeconds *
      -std::expm1(-Seconds(now - load.first_grant_at) / kUsualSeconds);
  return (load.usual_grants + 1) / (seconds + 1);
}

// Grants of an account within the time constant of the recent ones, and how
// many are usual for it in this time.
struct GrantCounts {
  double recent = 0;
  double usual = 0;
};

GrantCounts CountGrants(const ShardState& shard_state,
                        const base::AccountId& account,
                        base::TimePoint now) {
  const auto found = shard_state.account_loads.find(account);
  if (found == shard_state.account_loads.end())
    return {};
  AccountLoad load = found->second;
  Decay(load, now);
  // The counts of an account that was first seen a moment ago are alike.
  const double age = Seconds(now - load.first_grant_at);
  const double usual =
      age > 0 ? load.usual_grants * kRecentSeconds *
                    -std::expm1(-age / kRecentSeconds) /
                    (kUsualSeconds * -std::expm1(-age / kUsualSeconds))
              : load.usual_grants;
  return {load.recent_grants, usual};
}

double Share(const GrantCounts& counts) {
  return (counts.recent + kPriorGrants) / (counts.usual + kPriorGrants);
}

// Returns the number of further grants after which an account gives way to one
// with `other_share`.
double GrantsUntilGivingWay(const GrantCounts& counts, double other_share) {
  const double share = std::max(kOvertakingFactor * other_share, 1.0);
  const double grants =
      share * (counts.usual + kPriorGrants) - kPriorGrants - counts.recent;
  return std::max(grants, 0.0);
}

}  // namespace

void CountAccountGrant(ShardState& shard_state,
                       const SlotRequest& slot_request,
                       base::TimePoint now) {
  if (slot_request.account.value.empty())
    return;
  DropIdleAccounts(shard_state, now);
  const auto [found, added] =
      shard_state.account_loads.try_emplace(slot_request.account);
  AccountLoad& load = found->second;
  if (added) {
    load.first_grant_at = now;
    load.decayed_at = now;
  }
  Decay(load, now);
  load.usual_grants += 1;
  load.recent_grants += 1;
  load.last_grant_at = now;
}

double ServedShare(const ShardState& shard_state,
                   const base::AccountId& account,
                   base::TimePoint now) {
  return Share(CountGrants(shard_state, account, now));
}

bool IsSameRank(const SlotRequest& a, const SlotRequest& b) {
  return !a.account.value.empty() && !b.account.value.empty() &&
         a.account != b.account && a.priority == b.priority &&
         a.work_class == b.work_class;
}

bool GivesWay(double served_share, double other_served_share) {
  return served_share > 1 &&
         served_share > kOvertakingFactor * other_served_share;
}

std::size_t CountAhead(const ShardState& shard_state,
                       const SlotRequest& slot_request,
                       base::TimePoint now) {
  if (slot_request.account.value.empty())
    return shard_state.queue.size();
  std::unordered_map<base::AccountId, std::size_t> queued_by_account;
  std::size_t ahead = 0;
  std::size_t own = 0;
  for (const QueuedRequest& queued_request : shard_state.queue) {
    const SlotRequest& queued = queued_request.slot_request;
    if (IsSameRank(queued, slot_request)) {
      ++queued_by_account[queued.account];
      continue;
    }
    ++ahead;
    own += queued.account == slot_request.account ? 1 : 0;
  }
  const double own_grants = static_cast<double>(own + 1) /
                            UsualRate(shard_state, slot_request.account, now);
  // The share that the account will have when the new request is its next one.
  GrantCounts own_counts = CountGrants(shard_state, slot_request.account, now);
  own_counts.recent += static_cast<double>(own);
  const double own_share = Share(own_counts);
  for (const auto& [account, queued] : queued_by_account) {
    // By the usual rates alone, an account with few requests would wait for all
    // others until it is usually granted one.
    const double granted = std::min(
        kOvertakingFactor * own_grants * UsualRate(shard_state, account, now),
        GrantsUntilGivingWay(CountGrants(shard_state, account, now),
                             own_share));
    ahead += std::min(queued, static_cast<std::size_t>(std::ceil(granted)));
  }
  return ahead;
}

}  // namespace poplarfork::dispatch
