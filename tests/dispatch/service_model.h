#pragma once

#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/rng_func.h"
#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

// How a faulty upstream of the model treats a request.
enum class FaultKind { kErrors, kHangs };

struct ModelOptions {
  int upstreams = 12;
  std::uint32_t slots = 3;
  int daemons = 8;
  // Offered load as a share of what all slots can serve.
  double load = 0.3;
  double repeatable_share = 0.3;
  // Share of the upstreams that are faulty from the start to the end.
  double faulty_share = 0.3;
  // Probability that a faulty upstream fails a request.
  double fail_probability = 0.75;
  FaultKind fault_kind = FaultKind::kErrors;
  // If above zero, upstreams also fail for a few seconds at this rate.
  double episodes_per_s = 0;
  base::Duration mean_episode = seconds(3);
  base::Duration mean_duration = milliseconds(250);
  // If above zero, a dispatcher without knowledge takes over at this time.
  base::Duration takeover_at{};
  // If above zero, each upstream begins to fail at this time with the
  // probability `onset_share`, and does not recover.
  base::Duration onset_at{};
  double onset_share = 0;
};

// A request's last attempt, or the request itself if it was refused.
struct ModelEnd {
  base::TimePoint at;
  bool served = false;
  bool repeatable = false;
};

// A dispatcher in front of modelled upstreams and callers. The gateways are
// reduced to what a dispatcher sees of them: they retry repeatable requests at
// another upstream and report each attempt.
struct ServiceModel {
  explicit ServiceModel(const ModelOptions& options, std::uint64_t seed)
      : options(options), fixture(options.upstreams, options.slots), rng(seed) {
    this->fixture.rng = base::Rng(seed + 1);
    for (int i = 0; i < options.upstreams; ++i) {
      ModelUpstream& upstream = this->upstreams["u" + std::to_string(i)];
      upstream.permanently_faulty =
          i < static_cast<int>(options.faulty_share * options.upstreams);
    }
  }

  struct ModelUpstream {
    bool permanently_faulty = false;
    base::TimePoint faulty_until{};
    std::deque<base::TimePoint> arrivals;
  };

  struct ModelRequest {
    SlotRequest slot_request;
    std::string daemon;
    base::TimePoint deadline;
    int sends = 0;
  };

  struct ModelAttempt {
    ModelRequest request;
    Grant grant;
    base::TimePoint ends_at;
    base::TimePoint granted_at;
    Outcome outcome = Outcome::kServed;
    bool reported_running = false;
  };

  bool IsFaulty(const ModelUpstream& upstream) const {
    return upstream.permanently_faulty ||
           upstream.faulty_until > this->fixture.now;
  }

  base::Duration DrawDuration() {
    const double normal =
        std::sqrt(-2 * std::log(1 - base::Uniform01(this->rng))) *
        std::cos(6.283185307 * base::Uniform01(this->rng));
    constexpr double kSpread = 0.6;
    return base::Duration(static_cast<std::int64_t>(
        static_cast<double>(this->options.mean_duration.count()) *
        std::exp(kSpread * normal - kSpread * kSpread / 2)));
  }

  // Sends the request of a grant to its upstream.
  void Send(const ModelRequest& request, const Grant& grant) {
    ModelUpstream& upstream = this->upstreams.at(grant.upstream.value);
    upstream.arrivals.push_back(this->fixture.now);
    ModelAttempt attempt{request, grant, {}, this->fixture.now};
    ++attempt.request.sends;
    const bool fails =
        this->IsFaulty(upstream) &&
        base::Uniform01(this->rng) < this->options.fail_probability;
    attempt.ends_at = this->fixture.now + this->DrawDuration();
    if (fails && this->options.fault_kind == FaultKind::kErrors) {
      attempt.outcome = Outcome::kFailed;
    } else if (fails) {
      attempt.outcome = Outcome::kStalled;
      attempt.ends_at = request.slot_request.work_class.repeatable
                            ? this->fixture.now + grant.retry_after
                            : request.deadline;
    }
    this->running.push_back(attempt);
    ++this->attempts;
    this->lost_attempts += fails ? 1 : 0;
    this->waiting.erase(grant.attempt_id.value);
  }

  void HandleActions() {
    const Actions actions = this->fixture.actions;
    for (const Action& action : actions) {
      if (const auto* grant = std::get_if<SendGrant>(&action)) {
        const auto found = this->waiting.find(grant->grant.attempt_id.value);
        if (found != this->waiting.end())
          this->Send(ModelRequest(found->second), grant->grant);
      } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
        const auto found =
            this->waiting.find(refusal->refusal.attempt_id.value);
        if (found == this->waiting.end())
          continue;
        this->ends.push_back(
            {this->fixture.now, false,
             found->second.slot_request.work_class.repeatable});
        this->waiting.erase(found);
      } else if (const auto* probe = std::get_if<StartProbe>(&action)) {
        OnProbeResult(this->fixture.dispatcher, probe->service, probe->upstream,
                      ProbeResult::kHealthy, this->fixture.now);
      }
    }
  }

  void RequestSlot(const ModelRequest& request) {
    this->waiting[request.slot_request.attempt_id.value] = request;
    this->fixture.RequestSlot(request.daemon, request.slot_request);
    this->HandleActions();
  }

  void Arrive() {
    const bool repeatable =
        base::Uniform01(this->rng) < this->options.repeatable_share;
    ModelRequest request;
    request.slot_request = this->fixture.MakeSlotRequest(repeatable);
    request.daemon = "d" + std::to_string(base::UniformBelow(
                               this->rng, this->options.daemons));
    request.deadline = this->fixture.now + request.slot_request.until_deadline;
    this->RequestSlot(request);
  }

  void EndAttempt(const ModelAttempt& attempt) {
    this->fixture.EndAttempt(attempt.request.daemon, attempt.grant,
                             attempt.outcome,
                             this->fixture.now - attempt.granted_at);
    this->HandleActions();
    ModelRequest request = attempt.request;
    const bool served = attempt.outcome == Outcome::kServed;
    const bool repeatable = request.slot_request.work_class.repeatable;
    const base::Duration left = request.deadline - this->fixture.now;
    if (served || !repeatable || request.sends >= 3 ||
        left < milliseconds(60)) {
      this->ends.push_back({this->fixture.now, served, repeatable});
      return;
    }
    request.slot_request.attempt_id = {this->fixture.next_attempt_id++};
    request.slot_request.is_retry = true;
    request.slot_request.until_deadline = left;
    request.slot_request.avoid.push_back(attempt.grant.upstream);
    this->RequestSlot(request);
  }

  void StartEpisodes(double step_s) {
    for (auto& [id, upstream] : this->upstreams) {
      if (this->IsFaulty(upstream) ||
          base::Uniform01(this->rng) >= this->options.episodes_per_s * step_s)
        continue;
      upstream.faulty_until =
          this->fixture.now +
          base::Duration(static_cast<std::int64_t>(
              2 * base::Uniform01(this->rng) *
              static_cast<double>(this->options.mean_episode.count())));
    }
  }

  void StartOnset() {
    for (auto& [id, upstream] : this->upstreams) {
      if (base::Uniform01(this->rng) < this->options.onset_share)
        upstream.permanently_faulty = true;
    }
  }

  // Lets a dispatcher without knowledge take over, as after the loss of the
  // first one. The attempts that run are unknown to it.
  void TakeOver() {
    this->fixture.dispatcher = Dispatcher{};
    this->fixture.dispatcher.ready = true;
    for (int i = 0; i < this->options.upstreams; ++i)
      OnUpstreamRecord(
          this->fixture.dispatcher,
          MakeUpstreamRecord("u" + std::to_string(i), this->options.slots),
          this->fixture.now, this->fixture.rng);
    for (const auto& [id, request] : this->waiting)
      this->ends.push_back({this->fixture.now, false,
                            request.slot_request.work_class.repeatable});
    this->waiting.clear();
  }

  // Plays one step of 10 ms.
  void Step() {
    constexpr base::Duration kStep = milliseconds(10);
    constexpr double kStepSeconds = 0.01;
    this->fixture.now += kStep;
    ++this->steps;
    if (this->steps % 5 == 0) {
      this->fixture.actions = OnTick(this->fixture.dispatcher,
                                     this->fixture.now, this->fixture.rng);
      this->HandleActions();
    }
    if (this->options.takeover_at > base::Duration(0) &&
        this->steps * kStep == this->options.takeover_at)
      this->TakeOver();
    if (this->options.onset_at > base::Duration(0) &&
        this->steps * kStep == this->options.onset_at)
      this->StartOnset();
    this->StartEpisodes(kStepSeconds);
    std::vector<ModelAttempt> ended;
    std::erase_if(this->running, [&](const ModelAttempt& attempt) {
      if (attempt.ends_at > this->fixture.now)
        return false;
      ended.push_back(attempt);
      return true;
    });
    for (const ModelAttempt& attempt : ended)
      this->EndAttempt(attempt);
    for (ModelAttempt& attempt : this->running) {
      if (attempt.reported_running ||
          attempt.granted_at + attempt.grant.retry_after > this->fixture.now)
        continue;
      attempt.reported_running = true;
      this->fixture.EndAttempt(attempt.request.daemon, attempt.grant,
                               Outcome::kStillRunning);
    }
    const double mean_s =
        static_cast<double>(this->options.mean_duration.count()) / 1e6;
    this->due_arrivals += this->options.load * this->options.upstreams *
                          this->options.slots / mean_s * kStepSeconds;
    for (; this->due_arrivals >= 1; this->due_arrivals -= 1)
      this->Arrive();
  }

  // Returns the share of the requests that ended within `window` and were not
  // served.
  double UnservedShare(base::Duration window) const {
    int ended = 0;
    int unserved = 0;
    for (auto end = this->ends.rbegin();
         end != this->ends.rend() && end->at > this->fixture.now - window;
         ++end) {
      ++ended;
      unserved += end->served ? 0 : 1;
    }
    return ended > 0 ? static_cast<double>(unserved) / ended : 0;
  }

  // Returns the share of the sound upstreams that have received a request
  // within `window`.
  double CoveredShare(base::Duration window) const {
    int sound = 0;
    int covered = 0;
    for (const auto& [id, upstream] : this->upstreams) {
      if (this->IsFaulty(upstream) ||
          upstream.faulty_until > this->fixture.now - window)
        continue;
      ++sound;
      covered += !upstream.arrivals.empty() &&
                         upstream.arrivals.back() > this->fixture.now - window
                     ? 1
                     : 0;
    }
    return sound > 0 ? static_cast<double>(covered) / sound : 1;
  }

  ModelOptions options;
  DispatchFixture fixture;
  base::Rng rng;
  std::map<std::string, ModelUpstream> upstreams;
  std::vector<ModelAttempt> running;
  std::map<std::uint64_t, ModelRequest> waiting;
  std::vector<ModelEnd> ends;
  double due_arrivals = 0;
  int steps = 0;
  int attempts = 0;
  int lost_attempts = 0;
};

}  // namespace poplarfork::dispatch
