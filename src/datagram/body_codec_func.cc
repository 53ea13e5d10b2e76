#include "datagram/body_codec_func.h"

#include <algorithm>
#include <cmath>

namespace poplarfork::datagram {

namespace {

using proto::FleetDatagram;

// 24 hours. Durations that concern requests are far below this. Larger values
// are malformed and are reduced to it.
constexpr std::uint64_t kMaxMicroseconds = 3'600'000'000ULL * 24;

// Far above the crashes after which a request is refused for good. Larger
// numbers are malformed and are reduced to it.
constexpr std::uint32_t kMaxToldCrashes = 1000;

// Returns a number of tokens; one that is malformed is read as zero.
double ToTokens(double value) {
  return std::isfinite(value) ? std::max(value, 0.0) : 0;
}

}  // namespace

std::uint64_t ToMicroseconds(base::Duration duration) {
  return duration.count() < 0 ? 0
                              : static_cast<std::uint64_t>(duration.count());
}

base::Duration ToDuration(std::uint64_t microseconds) {
  return base::Duration(
      static_cast<std::int64_t>(std::min(microseconds, kMaxMicroseconds)));
}

std::optional<double> DecodeRateLimit(bool has_limit, double per_second) {
  if (!has_limit || !std::isfinite(per_second) || per_second < 0)
    return std::nullopt;
  return per_second;
}

void EncodeBody(FleetDatagram& out,
                const dispatch::CrashNotices& notices,
                base::TimePoint) {
  proto::FleetCrashes& body = *out.mutable_crashes();
  for (const dispatch::CrashNotice& notice : notices) {
    proto::FleetCrashes::Crash& crash = *body.add_crashes();
    crash.set_fingerprint(notice.fingerprint.value);
    crash.set_crashes(notice.crashes);
    crash.set_suspected(notice.suspected);
    crash.set_since_last_break_us(ToMicroseconds(notice.since_last_break));
    crash.set_refused_for_us(ToMicroseconds(notice.refused_for));
    crash.set_cleared(notice.is_cleared);
    crash.set_since_cleared_us(ToMicroseconds(notice.since_cleared));
  }
}

void EncodeBody(FleetDatagram& out,
                const allowance::TokenAsks& asks,
                base::TimePoint) {
  proto::FleetTokenAsk& body = *out.mutable_token_ask();
  for (const allowance::TokenAsk& ask : asks) {
    proto::FleetTokenAsk::Account& account = *body.add_accounts();
    account.set_account(ask.account.value);
    account.set_wanted(ask.wanted);
    account.set_returned(ask.returned);
    account.set_sequence(ask.sequence);
  }
}

void EncodeBody(FleetDatagram& out,
                const allowance::TokenGrants& grants,
                base::TimePoint) {
  proto::FleetTokenGrant& body = *out.mutable_token_grant();
  for (const allowance::TokenGrant& grant : grants) {
    proto::FleetTokenGrant::Account& account = *body.add_accounts();
    account.set_account(grant.account.value);
    account.set_granted(grant.granted);
    account.set_next_token_us(ToMicroseconds(grant.next_token));
    account.set_sequence(grant.sequence);
  }
}

Message DecodeBody(const proto::FleetCrashes& body) {
  dispatch::CrashNotices notices;
  for (const proto::FleetCrashes::Crash& crash : body.crashes())
    notices.push_back({{crash.fingerprint()},
                       std::min(crash.crashes(), kMaxToldCrashes),
                       std::min(crash.suspected(), kMaxToldCrashes),
                       ToDuration(crash.since_last_break_us()),
                       ToDuration(crash.refused_for_us()),
                       crash.cleared(),
                       ToDuration(crash.since_cleared_us())});
  return notices;
}

Message DecodeBody(const proto::FleetTokenAsk& body) {
  allowance::TokenAsks asks;
  for (const proto::FleetTokenAsk::Account& account : body.accounts())
    asks.push_back({.account = {account.account()},
                    .wanted = ToTokens(account.wanted()),
                    .returned = ToTokens(account.returned()),
                    .sequence = account.sequence()});
  return asks;
}

Message DecodeBody(const proto::FleetTokenGrant& body) {
  allowance::TokenGrants grants;
  for (const proto::FleetTokenGrant::Account& account : body.accounts())
    grants.push_back({.account = {account.account()},
                      .granted = ToTokens(account.granted()),
                      .next_token = ToDuration(account.next_token_us()),
                      .sequence = account.sequence()});
  return grants;
}

}  // namespace poplarfork::datagram
