#include <boost/test/unit_test.hpp>

#include "base/error_func.h"
#include "standin/http_server_func.h"
#include "standin/vm_list_server_func.h"
#include "standin/vm_list_state_func.h"
#include "tests/standin/loop_fixture.h"
#include "vm_list/client_func.h"
#include "vm_list/vm_json_func.h"

namespace poplarfork::vm_list {

namespace {

using standin::RunOnLoop;
using VmsResult = base::Result<std::vector<Vm>>;

// A VM list server with one live and one leaving VM, and a client of it.
struct VmListFixture {
  VmListFixture() {
    this->server = RunOnLoop([] {
      return standin::StartVmList(standin::TestLoop().get_executor(),
                                  {boost::asio::ip::address_v4::loopback(), 0});
    });
    ClientOptions options;
    options.address = standin::ListeningAddress(*this->server->server);
    options.call_timeout = std::chrono::milliseconds(300);
    this->client = RunOnLoop([options] { return MakeClient(options); });
    RunOnLoop([this] {
      standin::SetVmEntries(
          this->server->state,
          {{"10.0.0.1:1", "north", standin::VmState::kLive},
           {"10.0.0.2:1", "south", standin::VmState::kLeaving}},
          base::TimePoint());
    });
  }

  VmListFixture(const VmListFixture&) = delete;
  VmListFixture& operator=(const VmListFixture&) = delete;

  ~VmListFixture() {
    RunOnLoop([this] { standin::StopVmList(*this->server); });
  }

  VmsResult Fetch() const {
    return standin::AwaitCallback<VmsResult>(
        [this](auto done) { FetchVms(this->client, done); });
  }

  standin::VmListServerPtr server;
  ClientPtr client;
};

}  // namespace

// Guards against reading a leaving VM as live.
BOOST_FIXTURE_TEST_CASE(ListHasStatesAndDataCentres, VmListFixture) {
  const VmsResult vms = this->Fetch();
  BOOST_REQUIRE(vms.value().size() == 2);
  BOOST_TEST(vms.value()[0].data_centre.value == "north");
  BOOST_TEST((vms.value()[0].state == VmState::kLive));
  BOOST_TEST((vms.value()[1].state == VmState::kLeaving));
}

// Guards against a failed call that is reported as an empty list, after which
// every VM would be regarded as removed.
BOOST_FIXTURE_TEST_CASE(FailuresAreErrorsAndNotAnEmptyList, VmListFixture) {
  RunOnLoop(
      [this] { this->server->state.reply_delay = std::chrono::seconds(5); });
  const VmsResult slow = this->Fetch();
  BOOST_REQUIRE(!slow.has_value());
  BOOST_TEST((slow.error().code == base::ErrorCode::kTimeout));
  RunOnLoop([this] { this->server->state.is_down = true; });
  const VmsResult down = this->Fetch();
  BOOST_REQUIRE(!down.has_value());
  BOOST_TEST((down.error().step == base::Step::kVmListCall));
  BOOST_TEST(down.error().peer == this->client->options.address);
}

// Guards against an invalid entry that is skipped silently.
BOOST_AUTO_TEST_CASE(InvalidEntryMakesTheListMalformed) {
  const std::string valid_list =
      R"([{"address":"a:1","data_centre":"x","state":"live"}])";
  BOOST_TEST(ParseVms(valid_list).value().size() == 1);
  for (const char* invalid_list :
       {"", "{}", R"([{"data_centre":"x","state":"live"}])",
        R"([{"address":"a:1","data_centre":"x","state":"gone"}])", "[1]"}) {
    BOOST_TEST(!ParseVms(invalid_list).has_value(), invalid_list);
  }
}

}  // namespace poplarfork::vm_list
