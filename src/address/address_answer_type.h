#pragma once

#include <string>
#include <vector>

#include "address/address_limits_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::address {

// One address that a caller may use.
struct Address {
  // The "IP:port" to which callers connect.
  std::string edge_address;
  base::DataCentreId data_centre;
};

// The answer to a caller that asks for the addresses of a service, in the order
// in which the caller should try them.
struct AddressAnswer {
  std::vector<Address> addresses;
  base::Duration lifetime = kAnswerLifetime;
};

}  // namespace poplarfork::address
