#include "allowance/owner_func.h"

#include <algorithm>

#include "allowance/token_bucket_func.h"
#include "base/hash_func.h"
#include "base/time_func.h"

namespace poplarfork::allowance {

namespace {

// Longest time that the credit clock makes up for at once.
constexpr base::Duration kMaxCreditStep = std::chrono::seconds(1);

// Tokens in the bucket of an account that the owner sees for the first time, as
// a share of the burst. A predecessor may have granted the burst just before.
constexpr double kInitialTokenShare = 0.25;

// Share of the limits at which a daemon refills that is asked although it sees
// another member as the owner. Either that member failed a moment ago, or it
// still grants to others, for example because datagrams were lost. In the
// second case both together may exceed the limit by 0.1 x (5 s x rate + burst).
// A third exceeded it in a simulation with 5 % loss and a split of the fleet.
// The bucket holds no more than at first.
constexpr double kNotFirstRefillShare = 0.25;

// Time for which the reply to an ask is kept. A dispatcher repeats an ask for
// less than a second.
constexpr base::Duration kAnswerLifetime = std::chrono::seconds(2);

// Dispatchers whose asks were granted in part within this time compete for the
// tokens of an account. They ask again sooner than that.
constexpr base::Duration kCompetitionTime = std::chrono::milliseconds(500);

// Time without an ask after which a full bucket is removed.
constexpr base::Duration kBucketIdleTime = std::chrono::seconds(10);

// Tokens are granted in batches, so a bucket holds at least the tokens of this
// time. Otherwise it would be full between two asks and lose the rest.
constexpr double kMinBurstSeconds = 0.1;

BucketLimit ToBucketLimit(const fleet::AccountLimit& limit, bool is_first) {
  const double rate = limit.rate_per_second;
  const double burst =
      is_first ? limit.burst : kInitialTokenShare * limit.burst;
  return {.rate = rate,
          .burst = std::max({burst, kMinBurstSeconds * rate, 1.0})};
}

// Advances the credit clock of the group to `now`.
void AdvanceCredit(OwnedGroup& group, base::TimePoint now) {
  const base::Duration passed =
      std::clamp(now - group.advanced_at, base::Duration(0), kMaxCreditStep);
  group.credit_at += base::Scale(passed, group.refill_share);
  group.advanced_at = std::max(group.advanced_at, now);
}

OwnedBucket& FindOrCreateBucket(OwnedGroup& group,
                                const base::AccountId& account,
                                const BucketLimit& limit,
                                double initial_tokens) {
  const auto [found, added] = group.buckets.try_emplace(account);
  OwnedBucket& owned = found->second;
  if (added) {
    SetTokens(owned.bucket, limit, initial_tokens, group.credit_at);
  } else if (owned.limit != limit) {
    const double tokens =
        AvailableTokens(owned.bucket, owned.limit, group.credit_at);
    SetTokens(owned.bucket, limit, tokens, group.credit_at);
  }
  owned.limit = limit;
  return owned;
}

AnsweredAsk& FindOrCreateAnswer(OwnedBucket& owned,
                                const base::DaemonId& dispatcher,
                                base::TimePoint now) {
  std::erase_if(owned.answered_asks, [now](const AnsweredAsk& answered) {
    return now - answered.answered_at > kAnswerLifetime;
  });
  const auto found =
      std::find_if(owned.answered_asks.begin(), owned.answered_asks.end(),
                   [&dispatcher](const AnsweredAsk& answered) {
                     return answered.dispatcher == dispatcher;
                   });
  if (found != owned.answered_asks.end())
    return *found;
  owned.answered_asks.push_back({.dispatcher = dispatcher});
  return owned.answered_asks.back();
}

bool IsSameProcess(std::uint64_t a, std::uint64_t b) {
  return a >> 32 == b >> 32;
}

// Returns the number of dispatchers that compete for the tokens, including the
// one that asks.
std::size_t CompetitorCount(const OwnedBucket& owned,
                            const AnsweredAsk& asking,
                            base::TimePoint now) {
  return 1 + static_cast<std::size_t>(std::count_if(
                 owned.answered_asks.begin(), owned.answered_asks.end(),
                 [&asking, now](const AnsweredAsk& answered) {
                   return &answered != &asking && answered.is_short &&
                          now - answered.answered_at < kCompetitionTime;
                 }));
}

}  // namespace

std::uint32_t GroupOf(const base::AccountId& account) {
  return static_cast<std::uint32_t>(base::StableHash(account.value) %
                                    kAccountGroups);
}

std::string GroupKey(std::uint32_t group) {
  return "allowance/" + std::to_string(group);
}

void SetContact(Owner& owner,
                std::uint32_t group,
                double contact_share,
                bool is_first,
                base::TimePoint now) {
  const auto [found, added] = owner.groups.try_emplace(group);
  OwnedGroup& owned = found->second;
  if (added) {
    owned.credit_at = now;
    owned.advanced_at = now;
  }
  AdvanceCredit(owned, now);
  owned.is_first = is_first;
  owned.refill_share = std::clamp(contact_share, 0.0, 1.0) *
                       (is_first ? 1 : kNotFirstRefillShare);
}

std::optional<TokenGrant> OnTokenAsk(Owner& owner,
                                     const base::DaemonId& dispatcher,
                                     const TokenAsk& ask,
                                     const fleet::AccountLimit& limit,
                                     base::TimePoint now) {
  TokenGrant grant{.account = ask.account, .sequence = ask.sequence};
  const double wanted = std::max(ask.wanted, 0.0);
  if (limit.rate_per_second <= 0) {
    grant.granted = wanted;
    return grant;
  }
  OwnedGroup& group = owner.groups[GroupOf(ask.account)];
  AdvanceCredit(group, now);
  const BucketLimit bucket_limit = ToBucketLimit(limit, group.is_first);
  OwnedBucket& owned = FindOrCreateBucket(group, ask.account, bucket_limit,
                                          kInitialTokenShare * limit.burst);
  owned.last_asked_at = now;
  AnsweredAsk& answered = FindOrCreateAnswer(owned, dispatcher, now);
  const bool is_same_process = IsSameProcess(answered.sequence, ask.sequence);
  if (is_same_process && ask.sequence < answered.sequence)
    return std::nullopt;
  const bool is_repeated = ask.sequence == answered.sequence;
  const std::size_t competitors = CompetitorCount(owned, answered, now);
  if (!is_repeated) {
    const double available =
        std::min(AvailableTokens(owned.bucket, bucket_limit, group.credit_at) +
                     std::max(ask.returned, 0.0),
                 bucket_limit.burst);
    const double granted =
        std::min(wanted, available / static_cast<double>(competitors));
    SetTokens(owned.bucket, bucket_limit, available - granted, group.credit_at);
    answered.sequence = ask.sequence;
    answered.granted = granted;
    answered.is_short = granted < wanted;
  }
  answered.answered_at = now;
  grant.granted = answered.granted;
  // The competitors get the tokens in turn.
  if (answered.is_short) {
    const base::Duration refill_time =
        RefillTime(static_cast<double>(competitors), bucket_limit.rate);
    grant.next_token =
        group.refill_share > 0
            ? std::min(base::Scale(refill_time, 1 / group.refill_share),
                       kMaxTokenWait)
            : kMaxTokenWait;
  }
  return grant;
}

void EvictIdleBuckets(Owner& owner, base::TimePoint now) {
  for (auto& [number, group] : owner.groups) {
    const base::TimePoint credit_at = group.credit_at;
    std::erase_if(group.buckets, [credit_at, now](const auto& entry) {
      return entry.second.bucket.full_at <= credit_at &&
             now - entry.second.last_asked_at >= kBucketIdleTime;
    });
  }
  std::erase_if(owner.groups,
                [](const auto& entry) { return entry.second.buckets.empty(); });
}

}  // namespace poplarfork::allowance
