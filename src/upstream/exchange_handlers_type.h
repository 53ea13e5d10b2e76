#pragma once

#include <functional>
#include <string_view>

#include "upstream/exchange_end_type.h"
#include "upstream/http_type.h"

namespace poplarfork::upstream {

// Callbacks of an exchange. They are called in this order: the header once, the
// parts of the body, the end once. After the header and after each part,
// nothing more is read until Exchange::Resume() is called, so that a slow
// reader keeps only one part in memory.
struct ExchangeHandlers {
  // Called when a connection is available and the first byte is about to be
  // written. May be empty.
  std::function<void()> on_sending;
  std::function<void(const HttpHeader&)> on_header;
  std::function<void(std::string_view)> on_body;
  std::function<void(const ExchangeEnd&)> on_end;
};

}  // namespace poplarfork::upstream
