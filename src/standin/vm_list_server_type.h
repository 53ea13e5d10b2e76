#pragma once

#include <memory>

#include "standin/http_server_type.h"
#include "standin/vm_list_state_type.h"

namespace poplarfork::standin {

struct VmListServer {
  HttpServerPtr server;
  VmListState state;
};

using VmListServerPtr = std::shared_ptr<VmListServer>;

}  // namespace poplarfork::standin
