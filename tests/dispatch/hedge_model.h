#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "base/rng_func.h"
#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

struct HedgeModelOptions {
  int upstreams = 20;
  std::uint32_t slots = 4;
  // Requests per second.
  double rate = 60;
  double hedge_share = 0.05;
  // Share of the upstreams that hang three in four of their requests for the
  // time from `hang_from` to `hang_until`.
  double hanging_share = 0;
  base::Duration hang_from = seconds(10);
  base::Duration hang_until = seconds(20);
  base::Duration mean_duration = milliseconds(250);
};

// A dispatcher with upstreams that vary and hang, in front of look-ups that are
// hedged and retried as the gateways do it.
struct HedgeModel {
  HedgeModel(const HedgeModelOptions& options, std::uint64_t seed)
      : options(options), fixture(options.upstreams, options.slots), rng(seed) {
    this->fixture.rng = base::Rng(seed + 1);
    this->fixture.dispatcher.settings.hedge_share = options.hedge_share;
  }

  struct ModelAttempt {
    Grant grant;
    base::TimePoint started_at{};
    base::TimePoint ends_at{};
    bool reported = false;
  };

  struct ModelRequest {
    SlotRequest slot_request;
    base::TimePoint arrived_at{};
    std::vector<ModelAttempt> attempts;
    bool hedge_asked = false;
    bool retry_asked = false;
    bool waits = true;
    int sends = 0;
  };

  base::TimePoint DrawEnd(const base::UpstreamId& upstream) {
    const base::Duration time = this->fixture.now - kStart;
    const int number = std::stoi(upstream.value.substr(1));
    const bool hangs =
        number < this->options.hanging_share * this->options.upstreams &&
        time >= this->options.hang_from && time < this->options.hang_until &&
        base::Uniform01(this->rng) < 0.75;
    const double normal =
        std::sqrt(-2 * std::log(1 - base::Uniform01(this->rng))) *
        std::cos(6.283185307 * base::Uniform01(this->rng));
    if (hangs)
      return base::TimePoint::max();
    constexpr double kSpread = 0.6;
    return this->fixture.now +
           base::Duration(static_cast<std::int64_t>(
               static_cast<double>(this->options.mean_duration.count()) *
               std::exp(kSpread * normal - kSpread * kSpread / 2)));
  }

  void Start(ModelRequest& request, const Grant& grant) {
    const bool is_hedge = request.slot_request.is_hedge;
    this->hedges += is_hedge ? 1 : 0;
    this->first_attempts += request.slot_request.is_retry ? 0 : 1;
    // The queue is that after the grant; the hedge would have been one of it.
    this->hedges_while_others_wait +=
        is_hedge &&
                !this->fixture.dispatcher.shards.at({kService}).queue.empty()
            ? 1
            : 0;
    if (!is_hedge)
      this->Cancel(request, Outcome::kStalled);
    request.attempts.push_back(
        {grant, this->fixture.now, this->DrawEnd(grant.upstream), false});
    request.waits = false;
    request.retry_asked = false;
    ++request.sends;
  }

  void Cancel(ModelRequest& request, Outcome outcome) {
    const std::vector<ModelAttempt> cancelled = std::move(request.attempts);
    request.attempts.clear();
    for (const ModelAttempt& attempt : cancelled)
      this->Report(attempt, outcome);
  }

  void Report(const ModelAttempt& attempt, Outcome outcome) {
    this->fixture.EndAttempt("d", attempt.grant, outcome,
                             this->fixture.now - attempt.started_at);
    this->HandleActions();
  }

  // Passes grants and refusals to the requests that they belong to.
  void HandleActions() {
    const Actions actions = this->fixture.actions;
    this->fixture.actions.clear();
    for (const Action& action : actions) {
      if (const auto* grant = std::get_if<SendGrant>(&action)) {
        if (ModelRequest* request = this->Find(grant->grant.attempt_id))
          this->Start(*request, grant->grant);
      } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
        if (ModelRequest* request = this->Find(refusal->refusal.attempt_id)) {
          request->waits = false;
          this->refused_hedges += request->slot_request.is_hedge ? 1 : 0;
        }
      } else if (const auto* probe = std::get_if<StartProbe>(&action)) {
        OnProbeResult(this->fixture.dispatcher, probe->service, probe->upstream,
                      ProbeResult::kHealthy, this->fixture.now);
      }
    }
  }

  ModelRequest* Find(AttemptId attempt) {
    for (auto& [id, request] : this->requests) {
      if (request.waits && request.slot_request.attempt_id == attempt)
        return &request;
    }
    return nullptr;
  }

  void Ask(ModelRequest& request, bool is_retry, bool is_hedge) {
    SlotRequest& slot_request = request.slot_request;
    if (is_retry)
      slot_request.attempt_id = {this->fixture.next_attempt_id++};
    slot_request.is_retry = is_retry;
    slot_request.is_hedge = is_hedge;
    const base::Duration age = this->fixture.now - request.arrived_at;
    slot_request.until_late =
        std::max(milliseconds(800) - age, base::Duration(0));
    slot_request.until_deadline = milliseconds(2000) - age;
    for (const ModelAttempt& attempt : request.attempts)
      slot_request.avoid.push_back(attempt.grant.upstream);
    request.waits = true;
    this->fixture.RequestSlot("d", slot_request);
    this->HandleActions();
  }

  void Arrive() {
    ModelRequest& request = this->requests[this->next_request++];
    request.slot_request = this->fixture.MakeSlotRequest(true);
    request.arrived_at = this->fixture.now;
    this->Ask(request, false, false);
  }

  void ReportLong(ModelRequest& request) {
    for (ModelAttempt& attempt : request.attempts) {
      if (attempt.reported ||
          this->fixture.now < attempt.started_at + attempt.grant.retry_after)
        continue;
      attempt.reported = true;
      this->fixture.EndAttempt("d", attempt.grant, Outcome::kStillRunning);
    }
  }

  // Advances one request. Returns whether it has ended.
  bool Advance(ModelRequest& request) {
    const base::TimePoint now = this->fixture.now;
    if (now - request.arrived_at >= milliseconds(2000)) {
      ++this->unserved;
      if (request.waits)
        OnWithdrawal(this->fixture.dispatcher, {"d"},
                     {request.slot_request.attempt_id});
      request.waits = false;
      this->Cancel(request, Outcome::kStalled);
      return true;
    }
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      const ModelAttempt ended = request.attempts[i];
      if (ended.ends_at > now)
        continue;
      this->durations.push_back(now - request.arrived_at);
      request.waits = false;
      request.attempts.erase(request.attempts.begin() +
                             static_cast<std::ptrdiff_t>(i));
      this->Report(ended, Outcome::kServed);
      this->Cancel(request, Outcome::kCancelled);
      return true;
    }
    this->ReportLong(request);
    if (request.attempts.empty())
      return !request.waits;
    const ModelAttempt& first = request.attempts.front();
    if (request.waits || request.sends >= 3)
      return false;
    const bool all_long = std::all_of(
        request.attempts.begin(), request.attempts.end(),
        [](const ModelAttempt& attempt) { return attempt.reported; });
    if (!request.hedge_asked && first.grant.hedge_after > base::Duration(0) &&
        now >= first.started_at + first.grant.hedge_after) {
      request.hedge_asked = true;
      this->Ask(request, true, true);
    } else if (all_long && !request.retry_asked) {
      request.retry_asked = true;
      this->Ask(request, true, false);
    }
    return false;
  }

  // Plays one step of 10 ms.
  void Step() {
    this->fixture.now += milliseconds(10);
    if (++this->steps % 5 == 0) {
      this->fixture.actions = OnTick(this->fixture.dispatcher,
                                     this->fixture.now, this->fixture.rng);
      this->HandleActions();
    }
    for (auto item = this->requests.begin(); item != this->requests.end();)
      item = this->Advance(item->second) ? this->requests.erase(item)
                                         : std::next(item);
    this->due_arrivals += this->options.rate * 0.01;
    for (; this->due_arrivals >= 1; this->due_arrivals -= 1)
      this->Arrive();
  }

  void Run(base::Duration duration) {
    for (const base::TimePoint end = this->fixture.now + duration;
         this->fixture.now < end;)
      this->Step();
  }

  // Returns the share of the requests that were not served within `limit`.
  double LateShare(base::Duration limit) const {
    const auto late = static_cast<double>(std::count_if(
        this->durations.begin(), this->durations.end(),
        [limit](base::Duration duration) { return duration > limit; }));
    return (late + this->unserved) /
           (static_cast<double>(this->durations.size()) + this->unserved);
  }

  HedgeModelOptions options;
  DispatchFixture fixture;
  base::Rng rng;
  std::map<std::uint64_t, ModelRequest> requests;
  std::vector<base::Duration> durations;
  std::uint64_t next_request = 0;
  double due_arrivals = 0;
  int steps = 0;
  int first_attempts = 0;
  int hedges = 0;
  int refused_hedges = 0;
  int hedges_while_others_wait = 0;
  int unserved = 0;
};

}  // namespace poplarfork::dispatch
