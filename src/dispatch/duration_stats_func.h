#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// These functions learn how long the work of one class takes. The load pattern
// that they handle is work mixed with requests that take almost no time, such
// as cached content, errors that the upstream finds at once, and requests that
// only test which configuration is in force. An upstream that hangs its work
// may still answer those, so they say little about its health, and with them in
// the mean every normal response would seem to be slow.

// Tells whether a response that took `duration` is one of those that take
// almost no time in comparison with the work of the class. None is while nearly
// all responses of the class are as short.
bool IsShortResponse(const DurationStats& stats, base::Duration duration);

// Counts the duration of a served request, whose IsShortResponse() is
// `is_short`.
void AddResponseDuration(DurationStats& stats,
                         base::Duration duration,
                         bool is_short);

// Returns the mean duration of all responses in microseconds, short ones
// included.
double MeanResponseUs(const DurationStats& stats);

}  // namespace poplarfork::dispatch
