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
  Watch(ClientPtr owner, WatchCallback callback)
      : client(std::move(owner)),
        on_change(std::move(callback)),
        timer(client->loop) {}

  ClientPtr client;
  KeyRange range;
  // The first revision that has not been delivered yet.
  StoreRevision next;
  WatchCallback on_change;
  boost::asio::steady_timer timer;
  pplx::cancellation_token_source cancellation;
  std::uint64_t attempt = 0;
  std::uint64_t failures = 0;
  // Received bytes that have not been handled yet, such as an incomplete line.
  std::string received;
  bool is_stopped = false;
};

namespace {

using web::http::http_response;
using BodyBuffer = concurrency::streams::streambuf<std::uint8_t>;

// Limits the number of doublings of the reconnect delay, so that the shift does
// not overflow.
constexpr std::uint64_t kMaxDoublings = 10;

void Connect(const WatchPtr& watch);
void ReadMore(const WatchPtr& watch, std::uint64_t attempt, BodyBuffer buffer);

bool IsCurrent(const Watch& watch, std::uint64_t attempt) {
  return !watch.is_stopped && watch.attempt == attempt;
}

// Cancels the current connection. Data that it still delivers is ignored.
void Abandon(Watch& watch) {
  watch.attempt += 1;
  watch.timer.cancel();
  watch.cancellation.cancel();
  watch.received.clear();
}

base::Duration ReconnectDelay(Watch& watch) {
  const ClientOptions& options = watch.client->options;
  const std::uint64_t doublings = std::min(watch.failures, kMaxDoublings);
  const base::Duration bound =
      std::min(options.reconnect_max, options.reconnect_min * (1 << doublings));
  const double share = 0.5 + 0.5 * base::UniformUnit(watch.client->rng);
  return std::chrono::duration_cast<base::Duration>(bound * share);
}

void Fail(const WatchPtr& watch,
          base::ErrorCode code,
          const std::string& detail) {
  Abandon(*watch);
  watch->client->counts.watch_failures += 1;
  watch->timer.expires_after(ReconnectDelay(*watch));
  watch->failures += 1;
  const std::uint64_t attempt = watch->attempt;
  watch->timer.async_wait([watch, attempt](boost::system::error_code error) {
    if (!error && IsCurrent(*watch, attempt))
      Connect(watch);
  });
  watch->on_change(base::MakeError(code, base::Step::kStoreCall,
                                   watch->client->options.address, detail));
}

void EndCompacted(const WatchPtr& watch, StoreRevision compacted) {
  StopWatch(watch);
  watch->on_change(base::MakeError(
      base::ErrorCode::kOutOfRange, base::Step::kStoreCall,
      watch->client->options.address,
      "changes before revision " + std::to_string(compacted.value) +
          " have been compacted by the store"));
}

// Sets the timer that replaces the connection after `watch_renewal`.
void RenewLater(const WatchPtr& watch, std::uint64_t attempt) {
  watch->timer.expires_after(watch->client->options.watch_renewal);
  watch->timer.async_wait([watch, attempt](boost::system::error_code error) {
    if (error || !IsCurrent(*watch, attempt))
      return;
    Abandon(*watch);
    Connect(watch);
  });
}

void Deliver(const WatchPtr& watch, WatchBatch batch) {
  // After a reconnect, the store may start in the middle of a revision and
  // repeat changes that were already delivered. Their revision is below
  // `next_revision`.
  std::erase_if(batch.events, [&watch](const WatchEvent& event) {
    return event.entry.mod_revision < watch->next;
  });
  if (batch.events.empty())
    return;
  batch.revision = batch.events.back().entry.mod_revision;
  watch->next.value = batch.revision.value + 1;
  watch->on_change(std::move(batch));
}

void OnLine(const WatchPtr& watch,
            std::uint64_t attempt,
            const std::string& text) {
  auto line = ReadWatchLine(text);
  if (!line) {
    Fail(watch, base::ErrorCode::kMalformed, line.error().detail);
    return;
  }
  if (line.value().is_canceled) {
    EndCompacted(watch, line.value().compact_revision);
    return;
  }
  if (line.value().is_created) {
    watch->failures = 0;
    RenewLater(watch, attempt);
  }
  Deliver(watch, std::move(line.value().batch));
}

// Handles the complete lines in the receive buffer.
void OnBytes(const WatchPtr& watch, std::uint64_t attempt) {
  std::size_t end = watch->received.find('\n');
  while (end != std::string::npos) {
    const std::string text = watch->received.substr(0, end);
    watch->received.erase(0, end + 1);
    OnLine(watch, attempt, text);
    if (!IsCurrent(*watch, attempt))
      return;
    end = watch->received.find('\n');
  }
}

// Moves `first` and the bytes that `buffer` holds after it to the receive
// buffer, without waiting for more.
void TakeAvailable(Watch& watch, char first, BodyBuffer& buffer) {
  watch.received.push_back(first);
  std::uint8_t* block = nullptr;
  std::size_t size = 0;
  while (buffer.in_avail() > 0 && buffer.acquire(block, size) && size > 0) {
    watch.received.append(block, block + size);
    buffer.release(block, size);
  }
}

void OnByte(const WatchPtr& watch,
            std::uint64_t attempt,
            BodyBuffer buffer,
            const pplx::task<BodyBuffer::int_type>& task) {
  try {
    const auto byte = task.get();
    if (!IsCurrent(*watch, attempt))
      return;
    if (byte == BodyBuffer::traits::eof()) {
      Fail(watch, base::ErrorCode::kUnavailable,
           "the store ended the watch stream");
      return;
    }
    TakeAvailable(*watch, static_cast<char>(byte), buffer);
  } catch (const std::exception& error) {
    if (IsCurrent(*watch, attempt))
      Fail(watch, base::ErrorCode::kUnavailable, error.what());
    return;
  }
  OnBytes(watch, attempt);
  if (IsCurrent(*watch, attempt))
    ReadMore(watch, attempt, buffer);
}

// Waits for one byte; OnByte then reads all bytes that have arrived.
// istream::read_line and read_to_delim are not used, because they block the
// loop on lines above 16 KB.
void ReadMore(const WatchPtr& watch, std::uint64_t attempt, BodyBuffer buffer) {
  buffer.bumpc().then(
      [watch, attempt, buffer](const pplx::task<BodyBuffer::int_type>& task) {
        OnByte(watch, attempt, buffer, task);
      });
}

void OnResponse(const WatchPtr& watch,
                std::uint64_t attempt,
                const pplx::task<http_response>& task) {
  try {
    const http_response response = task.get();
    if (!IsCurrent(*watch, attempt))
      return;
    if (response.status_code() != web::http::status_codes::OK) {
      Fail(watch, base::ErrorCode::kRefused,
           "status " + std::to_string(response.status_code()));
      return;
    }
    ReadMore(watch, attempt, response.body().streambuf());
  } catch (const std::exception& error) {
    if (IsCurrent(*watch, attempt))
      Fail(watch, base::ErrorCode::kUnavailable, error.what());
  }
}

// Sets the timer that fails the connection if the store does not confirm the
// watch within the call timeout.
void ExpectCreated(const WatchPtr& watch, std::uint64_t attempt) {
  watch->timer.expires_after(watch->client->options.call_timeout);
  watch->timer.async_wait([watch, attempt](boost::system::error_code error) {
    if (!error && IsCurrent(*watch, attempt))
      Fail(watch, base::ErrorCode::kTimeout,
           "the store did not confirm the watch in time");
  });
}

void Connect(const WatchPtr& watch) {
  const std::uint64_t attempt = watch->attempt;
  Client& client = *watch->client;
  client.counts.watches += 1;
  watch->cancellation = pplx::cancellation_token_source();
  ExpectCreated(watch, attempt);
  web::http::http_request request =
      MakePost("/v3/watch", WatchBody(watch->range, watch->next));
  request.headers().add(web::http::header_names::connection, "close");
  web::http::client::http_client connection(client.reads.base_uri(),
                                            client.reads.client_config());
  connection.request(request, watch->cancellation.get_token())
      .then([watch, attempt](const pplx::task<http_response>& task) {
        OnResponse(watch, attempt, task);
      });
}

}  // namespace

WatchPtr StartWatch(const ClientPtr& client,
                    const std::string& prefix,
                    StoreRevision from_revision,
                    WatchCallback on_change) {
  auto watch = std::make_shared<Watch>(client, std::move(on_change));
  watch->range = PrefixRange(prefix);
  watch->next = from_revision;
  Connect(watch);
  return watch;
}

void StopWatch(const WatchPtr& watch) {
  watch->is_stopped = true;
  Abandon(*watch);
}

}  // namespace poplarfork::store
