#include "upstream/whole_call.h"

#include <utility>

#include "base/memory_budget_func.h"

namespace poplarfork::upstream {

// State of a call whose response is being buffered.
struct BufferedCall {
  BufferedResponse response;
  std::size_t max_body_bytes = 0;
  Pool* pool = nullptr;
  std::function<void(BufferedResponse)> on_end;
  // The exchange owns this state through its handlers, and the handlers run
  // only while the exchange exists. A shared pointer back to the exchange would
  // leak both if the event loop ends before the handlers have run.
  std::weak_ptr<Exchange> exchange;
};

namespace {

// Size of the buffer into which an exchange reads a body.
constexpr std::uint64_t kReadBufferBytes = 64 * 1024;

void ResumeExchange(const BufferedCall& call) {
  if (const auto exchange = call.exchange.lock())
    exchange->Resume();
}

// Ends a call whose body exceeds a limit, and frees the body.
void GiveUpBody(BufferedCall& call) {
  Pool& pool = *call.pool;
  BufferedResponse& response = call.response;
  pool.buffered_bytes -= response.body.size();
  pool.buffered_calls.erase(&call);
  response.body = {};
  response.body_charge.Resize(0);
  response.is_too_large = true;
  if (const auto exchange = call.exchange.lock())
    exchange->Cancel();
}

// Returns whether the limits of all bodies together allow `part_bytes` more, of
// which the memory counter will hold `charged_bytes`.
bool HasRoom(const Pool& pool,
             std::size_t part_bytes,
             std::uint64_t charged_bytes) {
  if (pool.buffered_bytes + part_bytes > pool.limits.max_buffered_bytes)
    return false;
  return !pool.memory ||
         base::MayBufferResponse(pool.limits.memory_budget, pool.memory->bytes,
                                 charged_bytes);
}

// Returns the call with the largest body of more than `min_bytes`, or null.
std::shared_ptr<BufferedCall> FindLargestCall(const Pool& pool,
                                              std::size_t min_bytes) {
  std::shared_ptr<BufferedCall> largest;
  for (const auto& [key, weak_call] : pool.buffered_calls) {
    auto call = weak_call.lock();
    if (!call || call->response.body.size() <= min_bytes)
      continue;
    min_bytes = call->response.body.size();
    largest = std::move(call);
  }
  return largest;
}

// Adds a part to the body. Returns false if a limit does not allow that. If it
// is a limit of all bodies together, the largest ones are given up in favour of
// smaller ones. Otherwise upstreams that send bodies without end would make the
// responses of all others fail.
bool AppendPart(const std::shared_ptr<BufferedCall>& call,
                std::string_view part) {
  Pool& pool = *call->pool;
  BufferedResponse& response = call->response;
  base::ByteCharge& charge = response.body_charge;
  const std::size_t body_bytes = response.body.size() + part.size();
  if (body_bytes > call->max_body_bytes)
    return false;
  const std::uint64_t charged_bytes =
      part.size() + (charge.Bytes() == 0 ? kReadBufferBytes : 0);
  while (!HasRoom(pool, part.size(), charged_bytes)) {
    const auto largest = FindLargestCall(pool, body_bytes);
    if (!largest)
      return false;
    GiveUpBody(*largest);
  }
  if (charge.Bytes() == 0)
    charge = {pool.memory, 0};
  charge.Resize(charge.Bytes() + charged_bytes);
  pool.buffered_bytes += part.size();
  pool.buffered_calls.emplace(call.get(), call);
  response.body.append(part);
  return true;
}

void OnBody(const std::shared_ptr<BufferedCall>& call, std::string_view part) {
  // The exchange may have read this part before it was cancelled.
  if (call->response.is_too_large)
    return;
  if (AppendPart(call, part))
    ResumeExchange(*call);
  else
    GiveUpBody(*call);
}

void OnEnd(BufferedCall& call, const ExchangeEnd& end) {
  call.response.end = end;
  call.pool->buffered_bytes -= call.response.body.size();
  call.pool->buffered_calls.erase(&call);
  call.response.body_charge.Resize(call.response.body.size());
  auto on_end = std::move(call.on_end);
  on_end(std::move(call.response));
}

}  // namespace

std::shared_ptr<Exchange> StartCall(
    boost::asio::io_context& loop,
    Pool& pool,
    const CallOptions& options,
    std::shared_ptr<const HttpRequest> request,
    std::function<void(BufferedResponse)> on_end) {
  auto call = std::make_shared<BufferedCall>();
  call->max_body_bytes = options.max_body_bytes;
  call->pool = &pool;
  call->on_end = std::move(on_end);
  ExchangeHandlers handlers;
  handlers.on_header = [call](const HttpHeader& header) {
    call->response.header = header;
    ResumeExchange(*call);
  };
  handlers.on_body = [call](std::string_view part) { OnBody(call, part); };
  handlers.on_end = [call](const ExchangeEnd& end) { OnEnd(*call, end); };
  auto exchange = std::make_shared<Exchange>(loop, pool, std::move(handlers));
  call->exchange = exchange;
  if (options.answer_timeout)
    exchange->LimitAnswerTime(*options.answer_timeout);
  exchange->Start(options.address, std::move(request), options.reuse,
                  options.timeout);
  return exchange;
}

}  // namespace poplarfork::upstream
