#include "datagram/codec_func.h"

#include <algorithm>

#include "base/error_func.h"
#include "fleet.pb.h"
#include "fleet/view_func.h"

namespace poplarfork::datagram {

namespace {

using proto::FleetDatagram;

std::uint64_t Microseconds(base::Duration duration) {
  return duration.count() < 0 ? 0
                              : static_cast<std::uint64_t>(duration.count());
}

// Durations that concern requests are far below this. Larger values are
// malformed and are reduced to it.
constexpr std::uint64_t kMaxMicroseconds = 3'600'000'000ULL * 24;

base::Duration ToDuration(std::uint64_t microseconds) {
  return base::Duration(
      static_cast<std::int64_t>(std::min(microseconds, kMaxMicroseconds)));
}

void Put(FleetDatagram& out, const Hello& hello, base::TimePoint) {
  proto::FleetHello& body = *out.mutable_hello();
  body.set_as_of(hello.as_of.value);
  body.set_configuration_version(hello.configuration.value);
  body.set_accepting(hello.accepting);
  body.set_store_stale(hello.store_stale);
  body.set_listed_to(hello.listed_to.value);
  body.set_without_records(hello.without_records);
}

void PutMember(proto::FleetMember& body, const fleet::MemberRecord& record) {
  body.set_id(record.member.id.value);
  body.set_front_address(record.member.front_address);
  body.set_control_address(record.member.control_address);
  body.set_data_centre(record.member.data_centre.value);
  body.set_changed(record.changed.value);
  body.set_removed(record.removed);
  body.set_capacity(record.member.capacity);
}

void PutUpstream(proto::FleetUpstream& body,
                 const fleet::UpstreamRecord& record,
                 base::TimePoint now) {
  const fleet::UpstreamEntry& entry = record.entry;
  body.set_id(entry.id.value);
  body.set_service(entry.service.value);
  body.set_address(entry.address);
  body.set_data_centre(entry.data_centre.value);
  body.set_slots(entry.slots);
  body.set_draining(entry.phase == fleet::UpstreamPhase::kDraining);
  if (entry.cold_until > now)
    body.set_cold_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(entry.cold_until -
                                                              now)
            .count()));
  body.set_incarnation(entry.incarnation.value);
  body.set_changed(record.changed.value);
  body.set_removed(record.removed);
}

void Put(FleetDatagram& out, const News& news, base::TimePoint now) {
  proto::FleetNews& body = *out.mutable_news();
  body.set_as_of(news.as_of.value);
  body.set_configuration_version(news.configuration.value);
  body.set_store_stale(news.store_stale);
  body.set_unknown_member(news.unknown_member);
  for (const fleet::MemberRecord& record : news.members)
    PutMember(*body.add_members(), record);
  for (const fleet::UpstreamRecord& record : news.upstreams)
    PutUpstream(*body.add_upstreams(), record, now);
  for (const base::DaemonId& id : news.unavailable)
    body.add_unavailable(id.value);
  body.set_has_unavailable(news.has_unavailable);
  body.set_part(news.part);
  body.set_parts(news.parts);
  body.set_is_full(news.is_full);
  body.set_more(news.more);
  body.set_since(news.since.value);
}

void Put(FleetDatagram& out, const dispatch::Ask& ask, base::TimePoint) {
  proto::FleetAsk& body = *out.mutable_ask();
  body.set_attempt(ask.attempt.value);
  body.set_service(ask.work.service.value);
  body.set_repeatable(ask.work.repeatable);
  body.set_priority(ask.work.priority);
  body.set_until_late_us(Microseconds(ask.until_late));
  body.set_until_deadline_us(Microseconds(ask.until_deadline));
  body.set_is_retry(ask.is_retry);
  body.set_was_granted(ask.was_granted);
  body.set_shard(ask.shard);
  body.set_shards(ask.shards);
  body.set_fingerprint(ask.fingerprint.value);
  body.set_data_centre(ask.data_centre.value);
  for (const base::UpstreamId& id : ask.avoid)
    body.add_avoid(id.value);
}

void Put(FleetDatagram& out, const dispatch::Grant& grant, base::TimePoint) {
  proto::FleetGrant& body = *out.mutable_grant();
  body.set_attempt(grant.attempt.value);
  body.set_upstream(grant.upstream.value);
  body.set_address(grant.address);
  body.set_retry_after_us(Microseconds(grant.retry_after));
  body.set_waited_us(Microseconds(grant.waited));
}

void Put(FleetDatagram& out,
         const dispatch::Waiting& waiting,
         base::TimePoint) {
  out.mutable_waiting()->set_attempt(waiting.attempt.value);
}

void Put(FleetDatagram& out,
         const dispatch::Refusal& refusal,
         base::TimePoint) {
  proto::FleetRefusal& body = *out.mutable_refusal();
  body.set_attempt(refusal.attempt.value);
  body.set_reason(static_cast<std::uint32_t>(refusal.reason));
  body.set_retry_after_us(Microseconds(refusal.retry_after));
}

void Put(FleetDatagram& out, const dispatch::Report& report, base::TimePoint) {
  proto::FleetReport& body = *out.mutable_report();
  body.set_attempt(report.attempt.value);
  body.set_upstream(report.upstream.value);
  body.set_outcome(static_cast<std::uint32_t>(report.outcome));
  body.set_duration_us(Microseconds(report.duration));
  body.set_has_load(report.has_load);
  body.set_running(report.load.running);
  body.set_waiting(report.load.waiting);
  body.set_slots(report.load.slots);
}

void Put(FleetDatagram& out,
         const dispatch::Withdrawal& withdrawal,
         base::TimePoint) {
  out.mutable_withdrawal()->set_attempt(withdrawal.attempt.value);
}

Message Take(const proto::FleetHello& body) {
  Hello hello;
  hello.as_of = {body.as_of()};
  hello.configuration = {body.configuration_version()};
  hello.accepting = body.accepting();
  hello.store_stale = body.store_stale();
  hello.listed_to = {body.listed_to()};
  hello.without_records = body.without_records();
  return hello;
}

fleet::MemberRecord TakeMember(const proto::FleetMember& body,
                               base::TimePoint now) {
  fleet::MemberRecord record;
  record.member.id = {body.id()};
  record.member.front_address = body.front_address();
  record.member.control_address = body.control_address();
  record.member.data_centre = {body.data_centre()};
  record.member.capacity = fleet::LimitCapacity(body.capacity());
  record.changed = {body.changed()};
  record.removed = body.removed();
  record.learned_at = now;
  return record;
}

fleet::UpstreamRecord TakeUpstream(const proto::FleetUpstream& body,
                                   base::TimePoint now) {
  fleet::UpstreamRecord record;
  record.entry.id = {body.id()};
  record.entry.service = {body.service()};
  record.entry.address = body.address();
  record.entry.data_centre = {body.data_centre()};
  record.entry.slots = std::max(body.slots(), 1U);
  record.entry.phase = body.draining() ? fleet::UpstreamPhase::kDraining
                                       : fleet::UpstreamPhase::kReady;
  record.entry.cold_until = now + std::chrono::milliseconds(body.cold_ms());
  record.entry.incarnation = {body.incarnation()};
  record.changed = {body.changed()};
  record.removed = body.removed();
  record.learned_at = now;
  return record;
}

Message Take(const proto::FleetNews& body, base::TimePoint now) {
  News news;
  news.as_of = {body.as_of()};
  news.configuration = {body.configuration_version()};
  news.store_stale = body.store_stale();
  news.unknown_member = body.unknown_member();
  for (const proto::FleetMember& member : body.members())
    news.members.push_back(TakeMember(member, now));
  for (const proto::FleetUpstream& upstream : body.upstreams())
    news.upstreams.push_back(TakeUpstream(upstream, now));
  for (const std::string& id : body.unavailable())
    news.unavailable.push_back({id});
  news.has_unavailable = body.has_unavailable();
  news.part = body.part();
  news.parts = body.parts();
  news.is_full = body.is_full();
  news.more = body.more();
  news.since = {body.since()};
  return news;
}

Message Take(const proto::FleetAsk& body) {
  dispatch::Ask ask;
  ask.attempt = {body.attempt()};
  ask.work.service = {body.service()};
  ask.work.repeatable = body.repeatable();
  ask.work.priority = body.priority();
  ask.until_late = ToDuration(body.until_late_us());
  ask.until_deadline = ToDuration(body.until_deadline_us());
  ask.is_retry = body.is_retry();
  ask.was_granted = body.was_granted();
  ask.shard = body.shard();
  ask.shards = std::max(body.shards(), 1U);
  ask.fingerprint = {body.fingerprint()};
  ask.data_centre = {body.data_centre()};
  for (const std::string& id : body.avoid())
    ask.avoid.push_back({id});
  return ask;
}

Message Take(const proto::FleetGrant& body) {
  dispatch::Grant grant;
  grant.attempt = {body.attempt()};
  grant.upstream = {body.upstream()};
  grant.address = body.address();
  grant.retry_after = ToDuration(body.retry_after_us());
  grant.waited = ToDuration(body.waited_us());
  return grant;
}

base::Error Malformed(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kPeerDecode,
                         "", detail);
}

base::Result<Message> Take(const proto::FleetRefusal& body) {
  if (body.reason() >
      static_cast<std::uint32_t>(dispatch::RefusalReason::kExpired))
    return Malformed("unknown refusal reason");
  dispatch::Refusal refusal;
  refusal.attempt = {body.attempt()};
  refusal.reason = static_cast<dispatch::RefusalReason>(body.reason());
  refusal.retry_after = ToDuration(body.retry_after_us());
  return Message(refusal);
}

base::Result<Message> Take(const proto::FleetReport& body) {
  if (body.outcome() >
      static_cast<std::uint32_t>(dispatch::Outcome::kCancelled))
    return Malformed("unknown attempt outcome");
  dispatch::Report report;
  report.attempt = {body.attempt()};
  report.upstream = {body.upstream()};
  report.outcome = static_cast<dispatch::Outcome>(body.outcome());
  report.duration = ToDuration(body.duration_us());
  report.has_load = body.has_load();
  report.load = {body.running(), body.waiting(), body.slots()};
  return Message(report);
}

}  // namespace

void Encode(const Message& message, base::TimePoint now, std::string& bytes) {
  FleetDatagram out;
  std::visit([&out, now](const auto& body) { Put(out, body, now); }, message);
  out.SerializeToString(&bytes);
}

base::Result<Message> Decode(std::string_view bytes, base::TimePoint now) {
  FleetDatagram in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return Malformed("the bytes are not a fleet datagram");
  switch (in.body_case()) {
    case FleetDatagram::kHello:
      return Take(in.hello());
    case FleetDatagram::kNews:
      return Take(in.news(), now);
    case FleetDatagram::kAsk:
      return Take(in.ask());
    case FleetDatagram::kGrant:
      return Take(in.grant());
    case FleetDatagram::kWaiting:
      return Message(dispatch::Waiting{{in.waiting().attempt()}});
    case FleetDatagram::kRefusal:
      return Take(in.refusal());
    case FleetDatagram::kReport:
      return Take(in.report());
    case FleetDatagram::kWithdrawal:
      return Message(dispatch::Withdrawal{{in.withdrawal().attempt()}});
    case FleetDatagram::BODY_NOT_SET:
      break;
  }
  return Malformed("the fleet datagram has no body");
}

}  // namespace poplarfork::datagram
