#include "datagram/record_codec_func.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "fleet/view_func.h"

namespace poplarfork::datagram {

void EncodeMemberRecord(proto::FleetMember& body,
                        const fleet::MemberRecord& record) {
  body.set_id(record.member.id.value);
  body.set_front_address(record.member.front_address);
  body.set_control_address(record.member.control_address);
  body.set_data_centre(record.member.data_centre.value);
  body.set_changed(record.change_revision.value);
  body.set_removed(record.removed);
  body.set_capacity(record.member.capacity);
}

void EncodeUpstreamRecord(proto::FleetUpstream& body,
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
  body.set_changed(record.change_revision.value);
  body.set_removed(record.removed);
  body.set_sequence(entry.sequence);
  body.set_restored(record.restored);
}

fleet::MemberRecord DecodeMemberRecord(const proto::FleetMember& body,
                                       base::TimePoint now) {
  fleet::MemberRecord record;
  record.member.id = {body.id()};
  record.member.front_address = body.front_address();
  record.member.control_address = body.control_address();
  record.member.data_centre = {body.data_centre()};
  record.member.capacity = fleet::ClampCapacity(body.capacity());
  record.change_revision = {body.changed()};
  record.removed = body.removed();
  record.learned_at = now;
  return record;
}

fleet::UpstreamRecord DecodeUpstreamRecord(const proto::FleetUpstream& body,
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
  record.entry.sequence = body.sequence();
  record.change_revision = {body.changed()};
  record.removed = body.removed();
  record.restored = body.restored();
  record.learned_at = now;
  return record;
}

}  // namespace poplarfork::datagram
