#include "upstream/whole_call.h"

#include <utility>

namespace poplarfork::upstream {

namespace {

// State of a call whose response is being buffered.
struct Call {
  WholeAnswer answer;
  std::size_t max_body_bytes = 0;
  std::function<void(WholeAnswer)> on_end;
  // The exchange owns this state through its handlers, and the handlers run
  // only while the exchange exists. A shared pointer back to the exchange would
  // leak both if the event loop ends before the handlers have run.
  std::weak_ptr<Exchange> exchange;
};

void Resume(const Call& call) {
  if (const auto exchange = call.exchange.lock())
    exchange->Resume();
}

void OnBody(Call& call, std::string_view part) {
  if (call.answer.body.size() + part.size() > call.max_body_bytes) {
    call.answer.too_large = true;
    if (const auto exchange = call.exchange.lock())
      exchange->Cancel();
    return;
  }
  call.answer.body.append(part);
  Resume(call);
}

void OnEnd(Call& call, const ExchangeEnd& end) {
  call.answer.end = end;
  auto on_end = std::move(call.on_end);
  on_end(std::move(call.answer));
}

}  // namespace

std::shared_ptr<Exchange> StartCall(boost::asio::io_context& loop,
                                    Pool& pool,
                                    const CallOptions& options,
                                    std::shared_ptr<const HttpRequest> request,
                                    std::function<void(WholeAnswer)> on_end) {
  auto call = std::make_shared<Call>();
  call->max_body_bytes = options.max_body_bytes;
  call->on_end = std::move(on_end);
  ExchangeHandlers handlers;
  handlers.on_header = [call](const HttpHeader& header) {
    call->answer.header = header;
    Resume(*call);
  };
  handlers.on_body = [call](std::string_view part) { OnBody(*call, part); };
  handlers.on_end = [call](const ExchangeEnd& end) { OnEnd(*call, end); };
  auto exchange = std::make_shared<Exchange>(loop, pool, std::move(handlers));
  call->exchange = exchange;
  exchange->Start(options.address, std::move(request), options.reuse,
                  options.timeout);
  return exchange;
}

}  // namespace poplarfork::upstream
