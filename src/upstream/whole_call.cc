#include "upstream/whole_call.h"

#include <utility>

#include "base/memory_budget_func.h"

namespace poplarfork::upstream {

namespace {

// Size of the buffer into which an exchange reads a body.
constexpr std::uint64_t kReadBufferBytes = 64 * 1024;

// State of a call whose response is being buffered.
struct CallState {
  BufferedResponse response;
  std::size_t max_body_bytes = 0;
  Pool* pool = nullptr;
  std::function<void(BufferedResponse)> on_end;
  // The exchange owns this state through its handlers, and the handlers run
  // only while the exchange exists. A shared pointer back to the exchange would
  // leak both if the event loop ends before the handlers have run.
  std::weak_ptr<Exchange> exchange;
};

void ResumeExchange(const CallState& call) {
  if (const auto exchange = call.exchange.lock())
    exchange->Resume();
}

// Adds a part to the body. Returns false if a limit does not allow that.
bool AppendPart(CallState& call, std::string_view part) {
  Pool& pool = *call.pool;
  base::ByteCharge& charge = call.response.body_charge;
  const std::uint64_t charged_bytes =
      part.size() + (charge.Bytes() == 0 ? kReadBufferBytes : 0);
  if (call.response.body.size() + part.size() > call.max_body_bytes ||
      pool.buffered_bytes + part.size() > pool.limits.max_buffered_bytes)
    return false;
  if (pool.memory &&
      !base::MayBufferResponse(pool.limits.memory_budget, pool.memory->bytes,
                               charged_bytes))
    return false;
  if (charge.Bytes() == 0)
    charge = {pool.memory, 0};
  charge.Resize(charge.Bytes() + charged_bytes);
  pool.buffered_bytes += part.size();
  call.response.body.append(part);
  return true;
}

void OnBody(CallState& call, std::string_view part) {
  if (!AppendPart(call, part)) {
    call.response.is_too_large = true;
    if (const auto exchange = call.exchange.lock())
      exchange->Cancel();
    return;
  }
  ResumeExchange(call);
}

void OnEnd(CallState& call, const ExchangeEnd& end) {
  call.response.end = end;
  call.pool->buffered_bytes -= call.response.body.size();
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
  auto call = std::make_shared<CallState>();
  call->max_body_bytes = options.max_body_bytes;
  call->pool = &pool;
  call->on_end = std::move(on_end);
  ExchangeHandlers handlers;
  handlers.on_header = [call](const HttpHeader& header) {
    call->response.header = header;
    ResumeExchange(*call);
  };
  handlers.on_body = [call](std::string_view part) { OnBody(*call, part); };
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
