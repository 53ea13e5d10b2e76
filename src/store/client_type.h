#pragma once

#include <memory>

#include <cpprest/http_client.h>
#include <boost/asio/io_context.hpp>

#include "base/rng_type.h"
#include "store/call_budget_func.h"
#include "store/client_counts_type.h"
#include "store/client_options_type.h"

namespace poplarfork::store {

// A client of the store. The functions that take it may be called only on the
// event loop's thread, and the callbacks run there.
struct Client {
  Client(const ClientOptions& client_options,
         boost::asio::io_context& asio_loop);

  ClientOptions options;
  boost::asio::io_context& loop;
  // HTTP client for reads, with pooled connections. cpprestsdk may repeat a
  // request on a pooled connection. That is harmless for reads, but a write
  // must be sent at most once, so writes do not use this client.
  web::http::client::http_client read_client;
  CallBudget budget;
  base::Rng rng;
  ClientCounts counts;
};

using ClientPtr = std::shared_ptr<Client>;

}  // namespace poplarfork::store
