#pragma once

#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>

#include "dispatch/dispatcher_func.h"

namespace poplarfork::dispatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint64_t kSeed = 20261204;
inline constexpr base::TimePoint kStart{seconds(100)};
inline const base::ServiceId kService{"orders"};

inline fleet::UpstreamRecord RecordOf(const std::string& id,
                                      std::uint32_t slots) {
  fleet::UpstreamRecord record;
  record.entry.id = {id};
  record.entry.service = kService;
  record.entry.address = "10.0.0.1:80";
  record.entry.data_centre = {"a"};
  record.entry.slots = slots;
  record.changed = {1};
  return record;
}

// A dispatcher with the upstreams u0, u1, ... and a simulated clock.
struct DispatchFixture {
  DispatchFixture(int upstreams, std::uint32_t slots) : rng(kSeed) {
    this->dispatcher.ready = true;
    for (int i = 0; i < upstreams; ++i)
      OnUpstream(this->dispatcher, RecordOf("u" + std::to_string(i), slots),
                 this->now, this->rng);
  }

  Ask MakeAsk(bool repeatable) {
    Ask ask;
    ask.attempt = {this->next_attempt++};
    ask.work = {kService, repeatable, repeatable ? 2U : 1U};
    ask.until_late = milliseconds(800);
    ask.until_deadline = milliseconds(2000);
    ask.fingerprint = {ask.attempt.value};
    ask.data_centre = {"a"};
    return ask;
  }

  // Requests a slot as `daemon` and returns the grant for this request, or null
  // if there is none.
  const Grant* AskFor(const std::string& daemon, const Ask& ask) {
    this->actions =
        OnAsk(this->dispatcher, {daemon}, ask, this->now, this->rng);
    for (const Action& action : this->actions) {
      const auto* grant = std::get_if<SendGrant>(&action);
      if (grant && grant->grant.attempt == ask.attempt)
        return &grant->grant;
    }
    return nullptr;
  }

  const Refusal* LastRefusal() const {
    for (const Action& action : this->actions) {
      if (const auto* refusal = std::get_if<SendRefusal>(&action))
        return &refusal->refusal;
    }
    return nullptr;
  }

  void End(const std::string& daemon,
           const Grant& grant,
           Outcome outcome,
           base::Duration duration = milliseconds(250)) {
    Report report;
    report.attempt = grant.attempt;
    report.upstream = grant.upstream;
    report.outcome = outcome;
    report.duration = duration;
    this->actions =
        OnReport(this->dispatcher, {daemon}, report, this->now, this->rng);
  }

  // Completes `count` requests one after the other, so that the mean durations
  // are known.
  void Warm(int count) {
    for (int i = 0; i < count; ++i) {
      const Grant* grant = this->AskFor("warm", this->MakeAsk(i % 2 == 0));
      BOOST_REQUIRE(grant);
      const Grant copy = *grant;
      this->now += milliseconds(20);
      this->End("warm", copy, Outcome::kServed);
    }
  }

  void Advance(base::Duration time) {
    const base::TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kTickInterval;
      this->actions = OnTick(this->dispatcher, this->now, this->rng);
    }
  }

  UpstreamState& Upstream(const std::string& id) {
    return this->dispatcher.shards.at({kService}).upstreams.at({id});
  }

  Dispatcher dispatcher;
  base::Rng rng;
  base::TimePoint now = kStart;
  std::uint64_t next_attempt = 1;
  Actions actions;
};

}  // namespace poplarfork::dispatch
