#include "edge/exchange.h"

#include <utility>

#include "edge/session.h"

namespace poplarfork::edge {

Exchange::Exchange(std::shared_ptr<Session> session,
                   ExchangeNumber number,
                   base::TimePoint received_at)
    : session(std::move(session)), number(number), received_at(received_at) {}

void Exchange::Respond(HttpResponse response) {
  this->session->Respond(this->number, std::move(response));
}

void Exchange::StartStream(HttpHeader header,
                           std::function<void(bool)> on_written) {
  this->session->StartStream(this->number, std::move(header),
                             std::move(on_written));
}

void Exchange::WritePart(std::string_view data,
                         std::function<void(bool)> on_written) {
  this->session->WritePart(this->number, data, std::move(on_written));
}

void Exchange::EndStream() {
  this->session->EndStream(this->number);
}

void Exchange::Abort() {
  this->session->AbortExchange(this->number);
}

const std::string& Exchange::CallerEndpoint() const {
  return this->session->CallerEndpoint();
}

base::TimePoint Exchange::ReceivedAt() const {
  return this->received_at;
}

}  // namespace poplarfork::edge
