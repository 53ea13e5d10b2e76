#pragma once

#include <string>

#include "note/account_type.h"
#include "note/policy_type.h"
#include "note/release_note_type.h"
#include "note/route_type.h"

namespace poplarfork::note {

// Each overload returns the values of one item as one line of readable text.
std::string Describe(const ServicePolicy& policy);
std::string Describe(const UpstreamOfService& service_upstream);
std::string Describe(const Route& route);
std::string Describe(const Account& account);

}  // namespace poplarfork::note
