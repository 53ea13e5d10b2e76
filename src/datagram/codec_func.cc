#include "datagram/codec_func.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "base/error_func.h"
#include "datagram/body_codec_func.h"
#include "datagram/record_codec_func.h"
#include "fleet.pb.h"

namespace poplarfork::datagram {

namespace {

using proto::FleetDatagram;

void EncodeBody(FleetDatagram& out, const Hello& hello, base::TimePoint) {
  proto::FleetHello& body = *out.mutable_hello();
  body.set_as_of(hello.as_of.value);
  body.set_configuration_version(hello.configuration_version.value);
  body.set_accepting(hello.accepting);
  body.set_store_stale(hello.store_stale);
  body.set_listed_to(hello.list_received_up_to.value);
  body.set_without_records(hello.without_records);
  body.set_era(static_cast<std::uint32_t>(hello.era.value));
  body.set_wants_withheld(hello.wants_withheld);
}

std::uint32_t ToMilliseconds(base::Duration duration) {
  constexpr std::int64_t kMaxMilliseconds = 1'000'000'000;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(),
      0, kMaxMilliseconds));
}

void EncodeBody(FleetDatagram& out,
                const ViewUpdate& update,
                base::TimePoint now) {
  proto::FleetNews& body = *out.mutable_news();
  body.set_as_of(update.as_of.value);
  body.set_configuration_version(update.configuration_version.value);
  body.set_store_stale(update.store_stale);
  body.set_unknown_member(update.unknown_member);
  for (const fleet::MemberRecord& record : update.members)
    EncodeMemberRecord(*body.add_members(), record);
  for (const fleet::UpstreamRecord& record : update.upstreams)
    EncodeUpstreamRecord(*body.add_upstreams(), record, now);
  for (const base::DaemonId& id : update.unavailable)
    body.add_unavailable(id.value);
  body.set_has_unavailable(update.has_unavailable);
  body.set_part(update.part_index);
  body.set_parts(update.part_count);
  body.set_is_full(update.is_full_list);
  body.set_more(update.more);
  body.set_since(update.since.value);
  body.set_era(static_cast<std::uint32_t>(update.era.value));
  if (update.read_age)
    // Rounded up, so that it is never zero and a view never seems more current
    // than it is.
    body.set_read_age_ms(ToMilliseconds(*update.read_age) + 1);
}

void EncodeBody(FleetDatagram& out,
                const dispatch::SlotRequest& slot_request,
                base::TimePoint) {
  proto::FleetAsk& body = *out.mutable_ask();
  body.set_attempt(slot_request.attempt_id.value);
  body.set_service(slot_request.work_class.service.value);
  body.set_repeatable(slot_request.work_class.repeatable);
  body.set_priority(slot_request.work_class.priority);
  body.set_account(slot_request.account.value);
  body.set_queue_priority(slot_request.priority);
  body.set_is_hedge(slot_request.is_hedge);
  body.set_until_late_us(ToMicroseconds(slot_request.until_late));
  body.set_until_deadline_us(ToMicroseconds(slot_request.until_deadline));
  body.set_is_retry(slot_request.is_retry);
  body.set_was_granted(slot_request.was_granted);
  body.set_shard(slot_request.shard_index);
  body.set_shards(slot_request.shard_count);
  body.set_fingerprint(slot_request.fingerprints.call.value);
  body.set_content(slot_request.fingerprints.content.value);
  body.set_family(slot_request.fingerprints.family.value);
  body.set_data_centre(slot_request.data_centre.value);
  for (const base::UpstreamId& id : slot_request.avoid)
    body.add_avoid(id.value);
}

void EncodeBody(FleetDatagram& out,
                const dispatch::Grant& grant,
                base::TimePoint) {
  proto::FleetGrant& body = *out.mutable_grant();
  body.set_attempt(grant.attempt_id.value);
  body.set_upstream(grant.upstream.value);
  body.set_address(grant.address);
  body.set_retry_after_us(ToMicroseconds(grant.retry_after));
  body.set_waited_us(ToMicroseconds(grant.waited));
  body.set_hedge_after_us(ToMicroseconds(grant.hedge_after));
}

void EncodeBody(FleetDatagram& out,
                const dispatch::QueuedNotice& notice,
                base::TimePoint) {
  out.mutable_waiting()->set_attempt(notice.attempt_id.value);
}

void EncodeBody(FleetDatagram& out,
                const dispatch::Refusal& refusal,
                base::TimePoint) {
  proto::FleetRefusal& body = *out.mutable_refusal();
  body.set_attempt(refusal.attempt_id.value);
  body.set_reason(static_cast<std::uint32_t>(refusal.reason));
  body.set_retry_after_us(ToMicroseconds(refusal.retry_after));
}

void EncodeBody(FleetDatagram& out,
                const dispatch::ShardDigest& digest,
                base::TimePoint) {
  proto::FleetDigest& body = *out.mutable_digest();
  body.set_service(digest.shard.service.value);
  body.set_shard(digest.shard.index);
  body.set_shards(digest.shard.count);
  body.set_sequence(digest.sequence);
  body.set_retry_tokens(digest.retry_tokens);
  body.set_request_rate(digest.request_rate);
  for (const dispatch::UpstreamDigest& upstream : digest.upstreams) {
    proto::FleetDigest::Upstream& entry = *body.add_upstreams();
    entry.set_id(upstream.id.value);
    entry.set_incarnation(upstream.incarnation.value);
    entry.set_fault_probability(static_cast<float>(upstream.fault_probability));
    entry.set_suspended(upstream.suspended);
    entry.set_leaving(upstream.leaving);
    entry.set_running(upstream.running_count);
    entry.set_slowness(static_cast<float>(upstream.slowness));
    entry.set_uncovered_ms(ToMilliseconds(upstream.uncovered_for));
    entry.set_has_rate_limit(upstream.rate_limit.has_value());
    entry.set_rate_limit(upstream.rate_limit.value_or(0));
    entry.set_rate_tokens(upstream.rate_tokens);
  }
  for (const dispatch::DurationDigest& duration : digest.durations) {
    proto::FleetDigest::Duration& entry = *body.add_durations();
    entry.set_repeatable(duration.repeatable);
    entry.set_priority(duration.priority);
    entry.set_mean_us(ToMicroseconds(duration.mean_duration));
  }
}

void EncodeBody(FleetDatagram& out,
                const dispatch::AttemptReport& report,
                base::TimePoint) {
  proto::FleetReport& body = *out.mutable_report();
  body.set_attempt(report.attempt_id.value);
  body.set_upstream(report.upstream.value);
  body.set_outcome(static_cast<std::uint32_t>(report.outcome));
  body.set_leaving(report.notice.is_leaving);
  body.set_pause_us(ToMicroseconds(report.notice.pause));
  body.set_has_rate_limit(report.notice.rate_limit.has_value());
  body.set_rate_limit(report.notice.rate_limit.value_or(0));
  body.set_duration_us(ToMicroseconds(report.duration));
  body.set_has_load(report.has_reported_load);
  body.set_running(report.reported_load.running);
  body.set_waiting(report.reported_load.waiting);
  body.set_slots(report.reported_load.slots);
}

void EncodeBody(FleetDatagram& out,
                const dispatch::Withdrawal& withdrawal,
                base::TimePoint) {
  out.mutable_withdrawal()->set_attempt(withdrawal.attempt_id.value);
}

// Eras have 16 bits. Larger numbers are malformed and count as the first era,
// which changes nothing.
fleet::StoreEra DecodeEra(std::uint32_t era) {
  return {era <= std::numeric_limits<std::uint16_t>::max() ? era : 0};
}

Message DecodeBody(const proto::FleetHello& body) {
  Hello hello;
  hello.as_of = {body.as_of()};
  hello.configuration_version = {body.configuration_version()};
  hello.accepting = body.accepting();
  hello.store_stale = body.store_stale();
  hello.list_received_up_to = {body.listed_to()};
  hello.without_records = body.without_records();
  hello.era = DecodeEra(body.era());
  hello.wants_withheld = body.wants_withheld();
  return hello;
}

Message DecodeBody(const proto::FleetNews& body, base::TimePoint now) {
  ViewUpdate update;
  update.as_of = {body.as_of()};
  update.configuration_version = {body.configuration_version()};
  update.store_stale = body.store_stale();
  update.unknown_member = body.unknown_member();
  for (const proto::FleetMember& member : body.members())
    update.members.push_back(DecodeMemberRecord(member, now));
  for (const proto::FleetUpstream& upstream : body.upstreams())
    update.upstreams.push_back(DecodeUpstreamRecord(upstream, now));
  for (const std::string& id : body.unavailable())
    update.unavailable.push_back({id});
  update.has_unavailable = body.has_unavailable();
  update.part_index = body.part();
  update.part_count = body.parts();
  update.is_full_list = body.is_full();
  update.more = body.more();
  update.since = {body.since()};
  update.era = DecodeEra(body.era());
  if (body.read_age_ms() > 0)
    update.read_age = std::chrono::milliseconds(body.read_age_ms());
  return update;
}

Message DecodeBody(const proto::FleetAsk& body) {
  dispatch::SlotRequest slot_request;
  slot_request.attempt_id = {body.attempt()};
  slot_request.work_class.service = {body.service()};
  slot_request.work_class.repeatable = body.repeatable();
  slot_request.work_class.priority = body.priority();
  slot_request.account = {body.account()};
  slot_request.priority = body.queue_priority();
  slot_request.is_hedge = body.is_hedge();
  slot_request.until_late = ToDuration(body.until_late_us());
  slot_request.until_deadline = ToDuration(body.until_deadline_us());
  slot_request.is_retry = body.is_retry();
  slot_request.was_granted = body.was_granted();
  slot_request.shard_index = body.shard();
  slot_request.shard_count = std::max(body.shards(), 1U);
  slot_request.fingerprints = {
      {body.fingerprint()}, {body.content()}, {body.family()}};
  slot_request.data_centre = {body.data_centre()};
  for (const std::string& id : body.avoid())
    slot_request.avoid.push_back({id});
  return slot_request;
}

Message DecodeBody(const proto::FleetGrant& body) {
  dispatch::Grant grant;
  grant.attempt_id = {body.attempt()};
  grant.upstream = {body.upstream()};
  grant.address = body.address();
  grant.retry_after = ToDuration(body.retry_after_us());
  grant.waited = ToDuration(body.waited_us());
  grant.hedge_after = ToDuration(body.hedge_after_us());
  return grant;
}

base::Error MakeMalformedError(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kPeerDecode,
                         "", detail);
}

base::Result<Message> DecodeBody(const proto::FleetRefusal& body) {
  if (body.reason() >
      static_cast<std::uint32_t>(dispatch::RefusalReason::kHedgeBudget))
    return MakeMalformedError("unknown refusal reason");
  dispatch::Refusal refusal;
  refusal.attempt_id = {body.attempt()};
  refusal.reason = static_cast<dispatch::RefusalReason>(body.reason());
  refusal.retry_after = ToDuration(body.retry_after_us());
  return Message(refusal);
}

base::Result<Message> DecodeBody(const proto::FleetReport& body) {
  if (body.outcome() >
      static_cast<std::uint32_t>(dispatch::Outcome::kStillRunning))
    return MakeMalformedError("unknown attempt outcome");
  dispatch::AttemptReport report;
  report.attempt_id = {body.attempt()};
  report.upstream = {body.upstream()};
  report.outcome = static_cast<dispatch::Outcome>(body.outcome());
  report.notice = {body.leaving(), ToDuration(body.pause_us()),
                   DecodeRateLimit(body.has_rate_limit(), body.rate_limit())};
  report.duration = ToDuration(body.duration_us());
  report.has_reported_load = body.has_load();
  report.reported_load = {body.running(), body.waiting(), body.slots()};
  return Message(report);
}

Message DecodeBody(const proto::FleetDigest& body) {
  dispatch::ShardDigest digest;
  digest.shard = {{body.service()}, body.shard(), std::max(body.shards(), 1U)};
  digest.sequence = body.sequence();
  digest.retry_tokens = body.retry_tokens();
  digest.request_rate = body.request_rate();
  for (const proto::FleetDigest::Upstream& upstream : body.upstreams())
    digest.upstreams.push_back(
        {{upstream.id()},
         {upstream.incarnation()},
         upstream.fault_probability(),
         upstream.suspended(),
         upstream.leaving(),
         upstream.running(),
         upstream.slowness(),
         std::chrono::milliseconds(upstream.uncovered_ms()),
         DecodeRateLimit(upstream.has_rate_limit(), upstream.rate_limit()),
         upstream.rate_tokens()});
  for (const proto::FleetDigest::Duration& duration : body.durations())
    digest.durations.push_back({duration.repeatable(), duration.priority(),
                                ToDuration(duration.mean_us())});
  return digest;
}

}  // namespace

void Encode(const Message& message, base::TimePoint now, std::string& bytes) {
  FleetDatagram out;
  std::visit([&out, now](const auto& body) { EncodeBody(out, body, now); },
             message);
  out.SerializeToString(&bytes);
}

base::Result<Message> Decode(std::string_view bytes, base::TimePoint now) {
  FleetDatagram in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return MakeMalformedError("the bytes are not a fleet datagram");
  switch (in.body_case()) {
    case FleetDatagram::kHello:
      return DecodeBody(in.hello());
    case FleetDatagram::kNews:
      return DecodeBody(in.news(), now);
    case FleetDatagram::kAsk:
      return DecodeBody(in.ask());
    case FleetDatagram::kGrant:
      return DecodeBody(in.grant());
    case FleetDatagram::kWaiting:
      return Message(dispatch::QueuedNotice{{in.waiting().attempt()}});
    case FleetDatagram::kRefusal:
      return DecodeBody(in.refusal());
    case FleetDatagram::kReport:
      return DecodeBody(in.report());
    case FleetDatagram::kWithdrawal:
      return Message(dispatch::Withdrawal{{in.withdrawal().attempt()}});
    case FleetDatagram::kDigest:
      return DecodeBody(in.digest());
    case FleetDatagram::kCrashes:
      return DecodeBody(in.crashes());
    case FleetDatagram::kTokenAsk:
      return DecodeBody(in.token_ask());
    case FleetDatagram::kTokenGrant:
      return DecodeBody(in.token_grant());
    case FleetDatagram::BODY_NOT_SET:
      break;
  }
  return MakeMalformedError("the fleet datagram has no body");
}

}  // namespace poplarfork::datagram
