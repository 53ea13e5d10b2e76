#include "standin/vm_list_server_func.h"

#include <string_view>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "standin/http_server_func.h"
#include "standin/json_func.h"
#include "standin/monotonic_clock_func.h"
#include "standin/response_func.h"
#include "standin/vm_list_state_func.h"

namespace poplarfork::standin {

namespace {

// A list of 6,900 VMs takes about 600 KB.
constexpr std::size_t kMaxBufferedBodyBytes = 8 * 1024 * 1024;

void SendList(const VmListServerPtr& vm_list,
              const HttpConnectionPtr& connection) {
  const auto entries = VisibleVmEntries(vm_list->state, Now());
  SendResponse(connection, MakeJsonResponse(200, VmEntriesJson(entries)));
}

void SendListAfterDelay(const VmListServerPtr& vm_list,
                        const HttpConnectionPtr& connection) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      vm_list->server->executor, vm_list->state.reply_delay);
  timer->async_wait([vm_list, connection, timer](boost::system::error_code) {
    if (!connection->is_closed)
      SendList(vm_list, connection);
  });
}

void OnListRequest(const VmListServerPtr& vm_list,
                   const HttpConnectionPtr& connection) {
  vm_list->state.call_count += 1;
  if (vm_list->state.is_down)
    CloseConnection(connection);
  else if (vm_list->state.reply_delay > base::Duration::zero())
    SendListAfterDelay(vm_list, connection);
  else
    SendList(vm_list, connection);
}

base::Result<void> HandleListCommand(VmListServer& vm_list,
                                     const std::string& body) {
  BOOST_OUTCOME_TRY(entries, ReadVmEntries(body));
  SetVmEntries(vm_list.state, std::move(entries), Now());
  return boost::outcome_v2::success();
}

base::Result<void> HandleFaultCommand(VmListServer& vm_list,
                                      const std::string& body) {
  BOOST_OUTCOME_TRY(command, ParseJsonObject(body));
  return ApplyVmListFault(vm_list.state, command);
}

void OnRequest(const VmListServerPtr& vm_list,
               const HttpConnectionPtr& connection) {
  const std::string_view path = RequestPath(*connection);
  if (path == "/v1/vms")
    OnListRequest(vm_list, connection);
  else if (path == "/control/vms")
    SendResponse(connection, MakeCommandResponse(HandleListCommand(
                                 *vm_list, connection->body)));
  else if (path == "/control/fault")
    SendResponse(connection, MakeCommandResponse(HandleFaultCommand(
                                 *vm_list, connection->body)));
  else
    SendResponse(connection, MakeNotFoundResponse());
}

}  // namespace

VmListServerPtr StartVmList(const boost::asio::any_io_executor& loop,
                            const boost::asio::ip::tcp::endpoint& endpoint) {
  auto vm_list = std::make_shared<VmListServer>();
  HttpServerOptions options;
  options.endpoint = endpoint;
  options.max_buffered_body_bytes = kMaxBufferedBodyBytes;
  vm_list->server = StartHttpServer(
      loop, options, [vm_list](const HttpConnectionPtr& connection) {
        OnRequest(vm_list, connection);
      });
  return vm_list;
}

void StopVmList(VmListServer& vm_list) {
  StopHttpServer(*vm_list.server);
}

}  // namespace poplarfork::standin
