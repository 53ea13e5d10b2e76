#include "store/watch_func.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <string>
#include <utility>

#include <cpprest/streams.h>
#include <boost/asio/steady_timer.hpp>

#include "base/error_func.h"
#include "base/rng_func.h"
#include "store/client_func.h"
#include "store/gateway_json_func.h"
#include "store/http_call_func.h"

namespace poplarfork::store {

// A watch, which uses one connection after another. `connection_number` numbers
// the connections, so that callbacks of an earlier connection can be recognised
// and ignored.
struct Watch {
  Watch(ClientPtr store_client, WatchCallback watch_callback)
      : client(std::move(store_client)),
        on_change(std::move(watch_callback)),
        timer(client->loop) {}

  ClientPtr client;
  KeyRange range;
  // The first revision that has not been delivered yet.
  StoreRevision next_revision;
  WatchCallback on_change;
  boost::asio::steady_timer timer;
  pplx::cancellation_token_source cancellation;
  std::uint64_t connection_number = 0;
  std::uint64_t consecutive_failures = 0;
  // Received bytes that have not been handled yet, such as an incomplete line.
  std::string receive_buffer;
  bool is_stopped = false;
};

namespace {

using web::http::http_response;
using BodyBuffer = concurrency::streams::streambuf<std::uint8_t>;

// Limits the number of doublings of the reconnect delay, so that the shift does
// not overflow.
constexpr std::uint64_t kMaxDoublings = 10;

void Connect(const WatchPtr& watch);
void ReadMore(const WatchPtr& watch,
              std::uint64_t connection_number,
              BodyBuffer buffer);

bool IsCurrentConnection(const Watch& watch, std::uint64_t connection_number) {
  return !watch.is_stopped && watch.connection_number == connection_number;
}

// Cancels the current connection. Data that it still delivers is ignored.
void AbandonConnection(Watch& watch) {
  watch.connection_number += 1;
  watch.timer.cancel();
  watch.cancellation.cancel();
  watch.receive_buffer.clear();
}

base::Duration ReconnectDelay(Watch& watch) {
  const ClientOptions& options = watch.client->options;
  const std::uint64_t doublings =
      std::min(watch.consecutive_failures, kMaxDoublings);
  const base::Duration bound =
      std::min(options.reconnect_max, options.reconnect_min * (1 << doublings));
  const double bound_share = 0.5 + 0.5 * base::Uniform01(watch.client->rng);
  return std::chrono::duration_cast<base::Duration>(bound * bound_share);
}

void FailAndReconnect(const WatchPtr& watch,
                      base::ErrorCode code,
                      const std::string& detail) {
  AbandonConnection(*watch);
  watch->client->counts.watch_failures += 1;
  watch->timer.expires_after(ReconnectDelay(*watch));
  watch->consecutive_failures += 1;
  const std::uint64_t connection_number = watch->connection_number;
  watch->timer.async_wait(
      [watch, connection_number](boost::system::error_code error) {
        if (!error && IsCurrentConnection(*watch, connection_number))
          Connect(watch);
      });
  watch->on_change(base::MakeError(code, base::Step::kStoreCall,
                                   watch->client->options.address, detail));
}

void EndCompactedWatch(const WatchPtr& watch, StoreRevision compact_revision) {
  StopWatch(watch);
  watch->on_change(base::MakeError(
      base::ErrorCode::kOutOfRange, base::Step::kStoreCall,
      watch->client->options.address,
      "changes before revision " + std::to_string(compact_revision.value) +
          " have been compacted by the store"));
}

// Sets the timer that replaces the connection after `watch_renewal`.
void ScheduleRenewal(const WatchPtr& watch, std::uint64_t connection_number) {
  watch->timer.expires_after(watch->client->options.watch_renewal);
  watch->timer.async_wait(
      [watch, connection_number](boost::system::error_code error) {
        if (error || !IsCurrentConnection(*watch, connection_number))
          return;
        AbandonConnection(*watch);
        Connect(watch);
      });
}

void DeliverBatch(const WatchPtr& watch, WatchBatch batch) {
  // After a reconnect, the store may start in the middle of a revision and
  // repeat changes that were already delivered. Their revision is below
  // `next_revision`.
  std::erase_if(batch.events, [&watch](const WatchEvent& event) {
    return event.entry.mod_revision < watch->next_revision;
  });
  if (batch.events.empty())
    return;
  batch.revision = batch.events.back().entry.mod_revision;
  watch->next_revision.value = batch.revision.value + 1;
  watch->on_change(std::move(batch));
}

void OnLine(const WatchPtr& watch,
            std::uint64_t connection_number,
            const std::string& text) {
  auto line = ParseWatchLine(text);
  if (!line) {
    FailAndReconnect(watch, base::ErrorCode::kMalformed, line.error().detail);
    return;
  }
  if (line.value().is_canceled) {
    EndCompactedWatch(watch, line.value().compact_revision);
    return;
  }
  if (line.value().is_created) {
    watch->consecutive_failures = 0;
    ScheduleRenewal(watch, connection_number);
  }
  DeliverBatch(watch, std::move(line.value().batch));
}

// Handles the complete lines in the receive buffer.
void HandleCompleteLines(const WatchPtr& watch,
                         std::uint64_t connection_number) {
  std::size_t end = watch->receive_buffer.find('\n');
  while (end != std::string::npos) {
    const std::string text = watch->receive_buffer.substr(0, end);
    watch->receive_buffer.erase(0, end + 1);
    OnLine(watch, connection_number, text);
    if (!IsCurrentConnection(*watch, connection_number))
      return;
    end = watch->receive_buffer.find('\n');
  }
}

// Moves `first` and the bytes that `buffer` holds after it to the receive
// buffer, without waiting for more.
void ReadAvailable(Watch& watch, char first, BodyBuffer& buffer) {
  watch.receive_buffer.push_back(first);
  std::uint8_t* block = nullptr;
  std::size_t size = 0;
  while (buffer.in_avail() > 0 && buffer.acquire(block, size) && size > 0) {
    watch.receive_buffer.append(block, block + size);
    buffer.release(block, size);
  }
}

void OnByte(const WatchPtr& watch,
            std::uint64_t connection_number,
            BodyBuffer buffer,
            const pplx::task<BodyBuffer::int_type>& task) {
  try {
    const auto byte = task.get();
    if (!IsCurrentConnection(*watch, connection_number))
      return;
    if (byte == BodyBuffer::traits::eof()) {
      FailAndReconnect(watch, base::ErrorCode::kUnavailable,
                       "the store ended the watch stream");
      return;
    }
    ReadAvailable(*watch, static_cast<char>(byte), buffer);
  } catch (const std::exception& error) {
    if (IsCurrentConnection(*watch, connection_number))
      FailAndReconnect(watch, base::ErrorCode::kUnavailable, error.what());
    return;
  }
  HandleCompleteLines(watch, connection_number);
  if (IsCurrentConnection(*watch, connection_number))
    ReadMore(watch, connection_number, buffer);
}

// Waits for one byte; OnByte then reads all bytes that have arrived.
// istream::read_line and read_to_delim are not used, because they block the
// loop on lines above 16 KB.
void ReadMore(const WatchPtr& watch,
              std::uint64_t connection_number,
              BodyBuffer buffer) {
  buffer.bumpc().then([watch, connection_number,
                       buffer](const pplx::task<BodyBuffer::int_type>& task) {
    OnByte(watch, connection_number, buffer, task);
  });
}

void OnResponse(const WatchPtr& watch,
                std::uint64_t connection_number,
                const pplx::task<http_response>& task) {
  try {
    const http_response response = task.get();
    if (!IsCurrentConnection(*watch, connection_number))
      return;
    if (response.status_code() != web::http::status_codes::OK) {
      FailAndReconnect(watch, base::ErrorCode::kRefused,
                       "status " + std::to_string(response.status_code()));
      return;
    }
    ReadMore(watch, connection_number, response.body().streambuf());
  } catch (const std::exception& error) {
    if (IsCurrentConnection(*watch, connection_number))
      FailAndReconnect(watch, base::ErrorCode::kUnavailable, error.what());
  }
}

// Sets the timer that fails the connection if the store does not confirm the
// watch within the call timeout.
void StartConfirmationTimer(const WatchPtr& watch,
                            std::uint64_t connection_number) {
  watch->timer.expires_after(watch->client->options.call_timeout);
  watch->timer.async_wait(
      [watch, connection_number](boost::system::error_code error) {
        if (!error && IsCurrentConnection(*watch, connection_number))
          FailAndReconnect(watch, base::ErrorCode::kTimeout,
                           "the store did not confirm the watch in time");
      });
}

void Connect(const WatchPtr& watch) {
  const std::uint64_t connection_number = watch->connection_number;
  Client& client = *watch->client;
  client.counts.watches += 1;
  watch->cancellation = pplx::cancellation_token_source();
  StartConfirmationTimer(watch, connection_number);
  web::http::http_request request = MakePostRequest(
      "/v3/watch", WatchBody(watch->range, watch->next_revision));
  request.headers().add(web::http::header_names::connection, "close");
  web::http::client::http_client connection(client.read_client.base_uri(),
                                            client.read_client.client_config());
  connection.request(request, watch->cancellation.get_token())
      .then([watch, connection_number](const pplx::task<http_response>& task) {
        OnResponse(watch, connection_number, task);
      });
}

}  // namespace

WatchPtr StartWatch(const ClientPtr& client,
                    const std::string& prefix,
                    StoreRevision from_revision,
                    WatchCallback on_change) {
  auto watch = std::make_shared<Watch>(client, std::move(on_change));
  watch->range = PrefixRange(prefix);
  watch->next_revision = from_revision;
  Connect(watch);
  return watch;
}

void StopWatch(const WatchPtr& watch) {
  watch->is_stopped = true;
  AbandonConnection(*watch);
}

}  // namespace poplarfork::store
