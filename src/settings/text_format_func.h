#pragma once

#include <optional>
#include <string>

#include "base/time_type.h"
#include "settings/entry_type.h"

namespace poplarfork::settings {

// Returns whether `text` has the given format.
bool MatchesFormat(const std::string& text, TextFormat format);

// Returns a description of the values that are accepted, for error messages.
const char* DescribeAcceptedFormat(TextFormat format);

// Parses a duration with its unit, such as "1500ms" or "2.5s". Returns nothing
// if the text is not valid.
std::optional<base::Duration> ParseDuration(const std::string& text);

}  // namespace poplarfork::settings
