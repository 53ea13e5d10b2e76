#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <cpprest/http_client.h>
#include <boost/asio/io_context.hpp>

#include "base/time_type.h"

namespace poplarfork::vm_list {

struct ClientOptions {
  // "IP:port" of the server of the VM list.
  std::string address;
  // A call without a complete response ends with an error after this time.
  base::Duration call_timeout = std::chrono::seconds(2);
};

struct ClientCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
};

// A client of the VM list. It may be used only on the event loop.
struct Client {
  Client(const ClientOptions& client_options,
         boost::asio::io_context& asio_loop);

  ClientOptions options;
  boost::asio::io_context& loop;
  web::http::client::http_client http_client;
  ClientCounters counters;
};

using ClientPtr = std::shared_ptr<Client>;

}  // namespace poplarfork::vm_list
