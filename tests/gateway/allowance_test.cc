#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "allowance/owner_func.h"
#include "clock/now_func.h"
#include "fleet/shard_func.h"
#include "fleet/view_func.h"
#include "gateway/peer_driver.h"
#include "tests/gateway/fleet_fixture.h"

namespace poplarfork::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kRate = 20;

// Number of accounts of the configuration, so that some of them are owned by
// another gateway than the dispatcher.
constexpr int kAccounts = 40;

std::string AccountName(int number) {
  return "client-" + std::to_string(number);
}

// Three gateways and a peer that sends them slot requests of a client account,
// as a fourth gateway would. The owner of the account is not the dispatcher.
struct AllowanceFleet : FleetFixture {
  AllowanceFleet()
      : peer(this->loop,
             [this](const base::DaemonId& from,
                    const datagram::Message& message) {
               this->OnReply(from, message);
             }) {
    this->accounts.emplace();
    for (int i = 0; i < kAccounts; ++i)
      (*this->accounts)[AccountName(i)] = {.keys = {"key-" + AccountName(i)},
                                           .rate_per_second = kRate,
                                           .burst = kRate};
    this->WriteConfiguration(1);
    this->AddUpstream("u1");
    for (int i = 0; i < 3; ++i)
      this->AddGateway();
    BOOST_REQUIRE(this->RunUntil([this] {
      return std::all_of(this->gateways.begin(), this->gateways.end(),
                         [](const auto& gateway) {
                           return gateway->view.members.size() == 3 &&
                                  IsAccepting(*gateway);
                         });
    }));
    BOOST_REQUIRE(this->peer.Open("127.0.0.1:0").has_value());
    this->dispatcher = this->FirstInRank(fleet::DispatcherKey({{"s"}, 0, 1}));
    for (int i = 0; i < kAccounts && this->owner.value.empty(); ++i) {
      this->account = {AccountName(i)};
      const base::DaemonId first = this->FirstInRank(
          allowance::GroupKey(allowance::GroupOf(this->account)));
      if (first != this->dispatcher)
        this->owner = first;
    }
    BOOST_REQUIRE(!this->owner.value.empty());
  }

  ~AllowanceFleet() { this->peer.Close(); }

  base::DaemonId FirstInRank(const std::string& key) const {
    return fleet::RankMembers(this->gateways.front()->view, key, 1,
                              clock::Now())
        .front();
  }

  Gateway& FindGateway(const base::DaemonId& id) {
    const auto found = std::find_if(
        this->gateways.begin(), this->gateways.end(),
        [&id](const auto& gateway) { return gateway->view.self == id; });
    BOOST_REQUIRE((found != this->gateways.end()));
    return **found;
  }

  void SendSlotRequest() {
    dispatch::SlotRequest slot_request;
    slot_request.attempt_id = {++this->sent};
    slot_request.work_class = {{"s"}, true, 1};
    slot_request.account = this->account;
    slot_request.until_late = milliseconds(800);
    slot_request.until_deadline = milliseconds(2000);
    slot_request.data_centre = {"a"};
    this->peer.Send(this->dispatcher, slot_request);
  }

  void OnReply(const base::DaemonId& from, const datagram::Message& message) {
    if (const auto* grant = std::get_if<dispatch::Grant>(&message)) {
      ++this->granted;
      dispatch::AttemptReport report;
      report.attempt_id = grant->attempt_id;
      report.upstream = grant->upstream;
      report.outcome = dispatch::Outcome::kServed;
      report.duration = milliseconds(1);
      this->peer.Send(from, report);
    } else if (const auto* refusal = std::get_if<dispatch::Refusal>(&message)) {
      this->refusals.push_back(*refusal);
    }
  }

  // Sends a slot request each `interval` until `done` or for `count` requests.
  void SendAtInterval(int count,
                      milliseconds interval,
                      const std::function<bool()>& done = nullptr) {
    for (int i = 0; i < count && !(done && done()); ++i) {
      this->SendSlotRequest();
      this->RunFor(interval);
    }
  }

  // Waits until all slot requests have a reply.
  void AwaitReplies() {
    BOOST_REQUIRE(this->RunUntil([this] {
      return this->granted + this->refusals.size() >= this->sent;
    }));
  }

  datagram::Channel peer;
  base::DaemonId dispatcher;
  base::DaemonId owner;
  base::AccountId account;
  std::uint64_t sent = 0;
  std::uint64_t granted = 0;
  std::vector<dispatch::Refusal> refusals;
};

}  // namespace

// Guards against an account within its limit that waits for tokens or is
// refused.
BOOST_FIXTURE_TEST_CASE(RequestsWithinTheLimitAreGranted, AllowanceFleet) {
  this->SendAtInterval(20, milliseconds(100));
  this->AwaitReplies();
  BOOST_TEST(this->refusals.empty());
  BOOST_TEST(this->granted == this->sent);
  BOOST_TEST(!this->FindGateway(this->owner).allowance.owner.groups.empty());
}

// Guards against requests over the limit that get a slot, and against refusals
// that do not tell when to try again.
BOOST_FIXTURE_TEST_CASE(RequestsOverTheLimitAreRefused, AllowanceFleet) {
  const base::TimePoint started_at = clock::Now();
  this->SendAtInterval(300, milliseconds(5));
  this->AwaitReplies();
  const double seconds =
      std::chrono::duration<double>(clock::Now() - started_at).count();
  BOOST_TEST(static_cast<double>(this->granted) <=
             (kRate * seconds + kRate) * 1.1 + 20);
  BOOST_TEST(this->granted >= kRate / 4);
  BOOST_REQUIRE(!this->refusals.empty());
  for (const dispatch::Refusal& refusal : this->refusals) {
    BOOST_TEST((refusal.reason == dispatch::RefusalReason::kOverAllowance));
    BOOST_TEST(refusal.retry_after.count() > 0);
  }
}

// Guards against an account that gets no tokens any more when its owner ends
// without notice.
BOOST_FIXTURE_TEST_CASE(StoppedOwnerIsReplaced, AllowanceFleet) {
  this->SendAtInterval(60, milliseconds(10));
  Gateway& stopped = this->FindGateway(this->owner);
  stopped.peer_channel->Close();
  stopped.hello_timer.cancel();
  const auto has_successor = [this] {
    return std::any_of(this->gateways.begin(), this->gateways.end(),
                       [this](const auto& gateway) {
                         return gateway->view.self != this->owner &&
                                gateway->allowance.owner.groups.contains(
                                    allowance::GroupOf(this->account));
                       });
  };
  this->SendAtInterval(3000, milliseconds(10), has_successor);
  BOOST_TEST(has_successor());
  const std::uint64_t granted_before = this->granted;
  this->SendAtInterval(3000, milliseconds(10), [this, granted_before] {
    return this->granted >= granted_before + 20;
  });
  BOOST_TEST(this->granted >= granted_before + 20);
}

}  // namespace poplarfork::gateway
