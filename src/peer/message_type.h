#pragma once

#include <string>

#include <envelope.pb.h>

#include "base/ids_type.h"

namespace poplarfork::peer {

// A decoded and checked message from another daemon. The payload is still
// encoded.
struct Message {
  base::DaemonId sender;
  base::Incarnation incarnation;
  base::DataCentreId data_centre;
  proto::MessageKind kind = proto::MESSAGE_KIND_UNSPECIFIED;
  std::string payload;
};

}  // namespace poplarfork::peer
