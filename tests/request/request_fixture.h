#pragma once

#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>
#include <vector>

#include "request/request_func.h"
#include "request/slot_request_func.h"

namespace poplarfork::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr base::TimePoint kStart{seconds(100)};

// One request whose dispatcher is simulated by the test.
struct RequestFixture {
  explicit RequestFixture(bool repeatable, std::uint32_t max_attempts = 2) {
    this->context.data_centre = {"a"};
    this->context.find_dispatcher =
        [this](const fleet::Shard&, const base::DaemonId* silent_dispatcher) {
          return silent_dispatcher && *silent_dispatcher == this->dispatcher
                     ? this->next_dispatcher
                     : this->dispatcher;
        };
    this->context.make_attempt_id = [this] {
      return dispatch::AttemptId{++this->last_attempt_id};
    };
    Arrival arrival;
    arrival.number = {1};
    arrival.work_class = {{"orders"}, repeatable, 1};
    arrival.late_at = kStart + milliseconds(800);
    arrival.deadline = kStart + milliseconds(2000);
    arrival.max_attempts = max_attempts;
    this->actions =
        BeginRequest(this->request, arrival, this->context, this->now);
  }

  // Grants the open slot request. `hedge_after` is zero if no hedge may be
  // sent.
  void GrantSlot(const std::string& upstream, base::Duration hedge_after = {}) {
    dispatch::Grant grant;
    grant.attempt_id = this->request.slot_request_id;
    grant.upstream = {upstream};
    grant.address = "10.0.0.1:80";
    grant.retry_after = milliseconds(500);
    grant.hedge_after = hedge_after;
    this->actions = OnGrant(this->request, this->dispatcher, grant, this->now);
  }

  void GrantSlotAtLeaving(const std::string& upstream) {
    dispatch::Grant grant;
    grant.attempt_id = this->request.slot_request_id;
    grant.upstream = {upstream};
    this->actions =
        OnUnwantedGrant(this->request, this->dispatcher, grant,
                        {.is_leaving = true}, this->context, this->now);
  }

  // Ends the attempt at an upstream, or that which was started last.
  void EndAttempt(AttemptResult result, const std::string& upstream = "") {
    AttemptEnd end;
    for (const Attempt& attempt : this->request.attempts) {
      if (upstream.empty() || attempt.upstream.value == upstream)
        end.attempt_id = attempt.id;
    }
    end.result = result;
    this->actions = OnAttemptEnd(this->request, end, this->context, this->now);
  }

  void RefuseSlot(dispatch::RefusalReason reason) {
    dispatch::Refusal refusal;
    refusal.attempt_id = this->request.slot_request_id;
    refusal.reason = reason;
    refusal.retry_after = milliseconds(700);
    this->actions = OnRefusal(this->request, refusal, this->context, this->now);
  }

  void AdvanceTime(base::Duration duration) {
    this->now += duration;
    this->actions = OnTimer(this->request, this->context, this->now);
  }

  // Returns the outcome that was reported for an upstream, or kUnused if there
  // is no report.
  dispatch::AttemptReport FindReport(const std::string& upstream) const {
    for (const Action& action : this->actions) {
      const auto* found = std::get_if<SendAttemptReport>(&action);
      if (found && found->report.upstream.value == upstream)
        return found->report;
    }
    return {};
  }

  template <class T>
  const T* FindAction() const {
    for (const Action& action : this->actions) {
      if (const T* found = std::get_if<T>(&action))
        return found;
    }
    return nullptr;
  }

  Request request;
  Context context;
  base::DaemonId dispatcher{"dispatcher"};
  base::DaemonId next_dispatcher{"next"};
  std::uint64_t last_attempt_id = 0;
  base::TimePoint now = kStart;
  Actions actions;
};

}  // namespace poplarfork::request
