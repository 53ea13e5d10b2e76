#pragma once

#include <iosfwd>
#include <string>

#include "base/result_type.h"
#include "health/detector_type.h"
#include "replay/recording_type.h"
#include "replay/trace_type.h"

namespace poplarfork::replay {

// Returns the detector with the name `name`. Fails with `kUnknownKey` if there
// is none.
base::Result<health::Detector> FindDetector(const std::string& name);

// Writes a trace as JSON lines: the header, then one line for each event with
// its time in microseconds after the start and the decisions made on it.
void WriteTrace(const TraceHeader& header,
                const Recording& recording,
                std::ostream& out);

// Reads a trace from `file`. The error for a malformed line names the file and
// the number of the line.
base::Result<Trace> ReadTrace(const std::string& file);

}  // namespace poplarfork::replay
