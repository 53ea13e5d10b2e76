#pragma once

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <variant>

#include "dispatch/dispatcher_func.h"

namespace poplarfork::dispatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint64_t kSeed = 20261204;
inline constexpr base::TimePoint kStart{seconds(100)};
inline const base::ServiceId kService{"orders"};

inline fleet::UpstreamRecord MakeUpstreamRecord(const std::string& id,
                                                std::uint32_t slots) {
  fleet::UpstreamRecord record;
  record.entry.id = {id};
  record.entry.service = kService;
  record.entry.address = "10.0.0.1:80";
  record.entry.data_centre = {"a"};
  record.entry.slots = slots;
  record.change_revision = {1};
  return record;
}

// A dispatcher with the upstreams u0, u1, ... and a simulated clock.
struct DispatchFixture {
  DispatchFixture(int upstreams, std::uint32_t slots) : rng(kSeed) {
    this->dispatcher.ready = true;
    for (int i = 0; i < upstreams; ++i)
      OnUpstreamRecord(this->dispatcher,
                       MakeUpstreamRecord("u" + std::to_string(i), slots),
                       this->now, this->rng);
  }

  SlotRequest MakeSlotRequest(bool repeatable) {
    SlotRequest slot_request;
    slot_request.attempt_id = {this->next_attempt_id++};
    slot_request.work_class = {kService, repeatable, repeatable ? 2U : 1U};
    slot_request.priority = slot_request.work_class.priority;
    slot_request.until_late = milliseconds(800);
    slot_request.until_deadline = milliseconds(2000);
    slot_request.fingerprints.call = {slot_request.attempt_id.value};
    slot_request.data_centre = {"a"};
    return slot_request;
  }

  // Requests a slot as `daemon` and returns the grant for this request, or null
  // if there is none.
  const Grant* RequestSlot(const std::string& daemon,
                           const SlotRequest& slot_request) {
    this->actions = OnSlotRequest(this->dispatcher, {daemon}, slot_request,
                                  this->now, this->rng);
    for (const Action& action : this->actions) {
      const auto* grant = std::get_if<SendGrant>(&action);
      if (!grant || grant->grant.attempt_id != slot_request.attempt_id)
        continue;
      this->open_grants[slot_request.attempt_id.value] = {
          daemon, grant->grant, this->now + grant->grant.retry_after};
      return &grant->grant;
    }
    return nullptr;
  }

  const Refusal* FindRefusal() const {
    for (const Action& action : this->actions) {
      if (const auto* refusal = std::get_if<SendRefusal>(&action))
        return &refusal->refusal;
    }
    return nullptr;
  }

  void EndAttempt(const std::string& daemon,
                  const Grant& grant,
                  Outcome outcome,
                  base::Duration duration = milliseconds(250)) {
    if (outcome != Outcome::kStillRunning)
      this->open_grants.erase(grant.attempt_id.value);
    AttemptReport report;
    report.attempt_id = grant.attempt_id;
    report.upstream = grant.upstream;
    report.outcome = outcome;
    report.duration = duration;
    this->actions = OnAttemptReport(this->dispatcher, {daemon}, report,
                                    this->now, this->rng);
  }

  // Completes `count` requests one after the other, so that the mean durations
  // are known.
  void ServeRequests(int count) {
    for (int i = 0; i < count; ++i) {
      const Grant* grant =
          this->RequestSlot("warm", this->MakeSlotRequest(i % 2 == 0));
      BOOST_REQUIRE(grant);
      const Grant copy = *grant;
      this->now += milliseconds(20);
      this->EndAttempt("warm", copy, Outcome::kServed);
    }
  }

  // Lets the daemons report the attempts that take long, as gateways do.
  void ReportLongAttempts() {
    for (auto& [id, open_grant] : this->open_grants) {
      if (open_grant.reported_at > this->now)
        continue;
      open_grant.reported_at = base::TimePoint::max();
      this->EndAttempt(open_grant.daemon, open_grant.grant,
                       Outcome::kStillRunning);
    }
  }

  // Forgets all attempts, as if their daemons had lost power.
  void KillDaemons() { this->open_grants.clear(); }

  void Advance(base::Duration duration) {
    const base::TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += kTickInterval;
      this->ReportLongAttempts();
      this->actions = OnTick(this->dispatcher, this->now, this->rng);
    }
  }

  UpstreamState& FindUpstream(const std::string& id) {
    return this->dispatcher.shards.at({kService}).upstreams.at({id});
  }

  // A grant whose attempt has not ended.
  struct OpenGrant {
    std::string daemon;
    Grant grant;
    // When the daemon reports that the attempt still runs.
    base::TimePoint reported_at{};
  };

  Dispatcher dispatcher;
  std::map<std::uint64_t, OpenGrant> open_grants;
  base::Rng rng;
  base::TimePoint now = kStart;
  std::uint64_t next_attempt_id = 1;
  Actions actions;
};

}  // namespace poplarfork::dispatch
