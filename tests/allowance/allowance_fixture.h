#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "allowance/balances_func.h"
#include "allowance/owner_func.h"
#include "base/rng_func.h"
#include "base/time_func.h"

namespace poplarfork::allowance {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr base::TimePoint kStart{seconds(1000)};
inline constexpr base::Duration kWindow = seconds(5);
inline const base::AccountId kAccount{"client"};

// Conditions of a simulated run.
struct SimulationOptions {
  std::uint64_t seed = 1;
  double rate = 60;
  double burst = 60;
  // Requests per second over all dispatchers, as a multiple of `rate`.
  double demand_factor = 4.7;
  std::size_t dispatchers = 5;
  std::size_t known_members = 100;
  double loss = 0.02;
  double duplication = 0.02;
  base::Duration max_delay = milliseconds(10);
};

// Dispatchers and owners of one account with a simulated clock and network. The
// messages are the core's; each dispatcher wakes up when the core asks for it,
// and each owner is maintained at the interval of the driver.
struct Simulation {
  explicit Simulation(const SimulationOptions& options)
      : options(options), rng(options.seed), dispatchers(options.dispatchers) {
    this->SetLimit(options.rate, options.burst);
    for (std::size_t i = 0; i < this->dispatchers.size(); ++i) {
      Dispatcher& dispatcher = this->dispatchers[i];
      dispatcher.balances.known_members = options.known_members;
      dispatcher.balances.next_sequence = ((this->rng() >> 33) << 32) + 1;
      this->ScheduleRequest(i);
    }
    this->AddOwner();
  }

  struct Dispatcher {
    Balances balances;
    // The owners that are asked, in the order of rank.
    std::size_t owner = 0;
    // Owners that this dispatcher can reach.
    std::set<std::size_t> unreachable;
    // After an owner has not replied, the next one is asked until then.
    base::TimePoint suspects_until{};
    bool is_alive = true;
    base::TimePoint paused_until{};
    double demand_share = 1;
  };

  struct OwnerProcess {
    Owner owner;
    double contact_share = 1;
    bool is_first = true;
    bool is_alive = true;
    base::TimePoint paused_until{};
  };

  void SetLimit(double rate, double burst) {
    auto accounts = std::make_shared<AccountMap>();
    (*accounts)[kAccount] = {kAccount, std::nullopt, {rate, burst}};
    this->limit = {rate, burst};
    for (Dispatcher& dispatcher : this->dispatchers)
      dispatcher.balances.accounts = accounts;
  }

  std::size_t AddOwner(bool is_first = true) {
    this->owners.emplace_back();
    this->owners.back().is_first = is_first;
    this->Maintain(this->owners.size() - 1);
    return this->owners.size() - 1;
  }

  // Runs `handler` at `at`, or when `paused_until` is over.
  void At(base::TimePoint at, std::function<void()> handler) {
    this->events.emplace(at, this->next_event++);
    this->handlers.emplace(this->next_event - 1, std::move(handler));
  }

  void Run(base::Duration duration) {
    const base::TimePoint end = this->now + duration;
    while (!this->events.empty() && this->events.top().first <= end) {
      const auto [at, id] = this->events.top();
      this->events.pop();
      this->now = at;
      const auto node = this->handlers.extract(id);
      node.mapped()();
    }
    this->now = end;
  }

  void Maintain(std::size_t index) {
    OwnerProcess& process = this->owners[index];
    if (!process.is_alive)
      return;
    if (process.paused_until <= this->now) {
      SetContact(process.owner, GroupOf(kAccount), process.contact_share,
                 process.is_first, this->now);
      EvictIdleBuckets(process.owner, this->now);
    }
    this->At(std::max(this->now + milliseconds(500), process.paused_until),
             [this, index] { this->Maintain(index); });
  }

  void ScheduleRequest(std::size_t index) {
    Dispatcher& dispatcher = this->dispatchers[index];
    if (!dispatcher.is_alive)
      return;
    const double rate = this->options.demand_factor * this->options.rate *
                        dispatcher.demand_share /
                        static_cast<double>(this->dispatchers.size());
    const double gap = rate > 0 ? 2 * base::Uniform01(this->rng) / rate : 0.1;
    this->At(
        this->now + base::Duration(static_cast<std::int64_t>(gap * 1e6) + 1),
        [this, index, rate] {
          if (rate > 0)
            this->Request(index);
          this->ScheduleRequest(index);
        });
  }

  void Request(std::size_t index) {
    Dispatcher& dispatcher = this->dispatchers[index];
    if (!dispatcher.is_alive || dispatcher.paused_until > this->now)
      return;
    const auto retry_after = TakeToken(dispatcher.balances, kAccount, this->now,
                                       base::Uniform01(this->rng));
    if (retry_after)
      this->refusals.push_back(*retry_after);
    else
      this->admitted_at.push_back(this->now);
    this->WakeLater(index);
  }

  void WakeLater(std::size_t index) {
    const base::TimePoint wake_at =
        NextWakeUp(this->dispatchers[index].balances);
    if (wake_at == base::TimePoint::max())
      return;
    this->At(std::max(wake_at, this->now + milliseconds(5)),
             [this, index] { this->Wake(index); });
  }

  void Wake(std::size_t index) {
    Dispatcher& dispatcher = this->dispatchers[index];
    if (!dispatcher.is_alive)
      return;
    if (dispatcher.paused_until > this->now) {
      this->At(dispatcher.paused_until, [this, index] { this->Wake(index); });
      return;
    }
    if (NextWakeUp(dispatcher.balances) > this->now)
      return;
    const DueAsks due = TakeDueAsks(dispatcher.balances, this->now);
    if (!due.silent_groups.empty())
      dispatcher.suspects_until = this->now + seconds(1);
    for (const TokenAsk& ask : due.asks)
      this->SendAsk(index, ask);
    this->WakeLater(index);
  }

  // Delivers a message with the loss, delay and duplication of the network.
  void Deliver(const std::function<void()>& handler) {
    ++this->messages;
    const int copies =
        base::Uniform01(this->rng) < this->options.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (base::Uniform01(this->rng) < this->options.loss)
        continue;
      this->At(this->now + base::Scale(this->options.max_delay,
                                       base::Uniform01(this->rng)),
               handler);
    }
  }

  void SendAsk(std::size_t index, const TokenAsk& ask) {
    const Dispatcher& dispatcher = this->dispatchers[index];
    std::size_t to = dispatcher.owner;
    if (dispatcher.suspects_until > this->now && to + 1 < this->owners.size())
      ++to;
    if (to >= this->owners.size() || dispatcher.unreachable.contains(to))
      return;
    this->Deliver([this, index, to, ask] { this->HandleAsk(index, to, ask); });
  }

  void HandleAsk(std::size_t index, std::size_t to, const TokenAsk& ask) {
    OwnerProcess& process = this->owners[to];
    if (!process.is_alive)
      return;
    if (process.paused_until > this->now) {
      this->At(process.paused_until,
               [this, index, to, ask] { this->HandleAsk(index, to, ask); });
      return;
    }
    const auto grant =
        OnTokenAsk(process.owner, {"dispatcher-" + std::to_string(index)}, ask,
                   this->limit, this->now);
    if (!grant)
      return;
    this->Deliver([this, index, grant = *grant] {
      Dispatcher& dispatcher = this->dispatchers[index];
      if (!dispatcher.is_alive)
        return;
      OnTokenGrant(dispatcher.balances, grant, this->now);
      this->WakeLater(index);
    });
  }

  // Returns the most requests that were admitted in one window from `since` on.
  std::size_t MostAdmitted(base::TimePoint since) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < this->admitted_at.size(); ++last) {
      while (this->admitted_at[last] - this->admitted_at[first] >= kWindow)
        ++first;
      if (this->admitted_at[first] >= since)
        most = std::max(most, last - first + 1);
    }
    return most;
  }

  std::size_t AdmittedSince(base::TimePoint since) const {
    return static_cast<std::size_t>(
        std::count_if(this->admitted_at.begin(), this->admitted_at.end(),
                      [since](base::TimePoint at) { return at >= since; }));
  }

  // Returns the number of requests that a window may admit.
  static double Allowed(double rate, double burst) {
    return (rate * 5 + burst) * 1.1 + 20;
  }

  SimulationOptions options;
  base::Rng rng;
  base::TimePoint now = kStart;
  fleet::AccountLimit limit;
  std::vector<Dispatcher> dispatchers;
  std::deque<OwnerProcess> owners;
  std::vector<base::TimePoint> admitted_at;
  std::vector<base::Duration> refusals;
  std::size_t messages = 0;

 private:
  using Event = std::pair<base::TimePoint, std::uint64_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::unordered_map<std::uint64_t, std::function<void()>> handlers;
  std::uint64_t next_event = 0;
};

}  // namespace poplarfork::allowance
