#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include "base/error_type.h"

namespace poplarfork::base {

// Holds either a value or an `Error`. Calling value() on an error, or error()
// on a value, throws `boost::outcome_v2::bad_result_access_with<Error>`.
template <class T>
using Result = boost::outcome_v2::basic_result<
    T,
    Error,
    boost::outcome_v2::policy::throw_bad_result_access<Error, void>>;

}  // namespace poplarfork::base
