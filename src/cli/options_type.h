#pragma once

#include <string>
#include <vector>

namespace poplarfork::cli {

enum class Command {
  kCheck,
  kDiff,
  kPublish,
  kStatus,
  kExplain,
  kHistory,
  kWhere,
};

enum class OutputFormat {
  kTable,
  kJson,
};

// A caller's request whose upstream `where` explains.
struct WhereOptions {
  // The "IP:port" of a gateway's control address.
  std::string gateway_address;
  std::string method;
  std::string path;
  // Host name of the request; may be empty.
  std::string host = {};
  // Name of the client account; empty if there is none.
  std::string account = {};
};

// The values of the flags as they were given.
struct FlagValues {
  std::string daemon_address;
  std::string note_id;
  std::string output = "table";
  // The names of log files of gateways; used by explain only.
  std::vector<std::string> logs = {};
  WhereOptions where = {};
};

// The checked command line.
struct Options {
  Command command = Command::kStatus;
  // The name of the file for check, diff and publish, or the request id for
  // explain.
  std::string argument;
  // The "IP:port" of a daemon's admin API. It may be empty for check and
  // where, and for explain with log files.
  std::string daemon_address;
  // The id given by flag. If it is empty, the id in the note is used, or a new
  // one is generated if the note has none.
  std::string note_id;
  OutputFormat output = OutputFormat::kTable;
  // If there are any, explain reads these log files instead of asking a daemon.
  std::vector<std::string> logs;
  // Used by where only.
  WhereOptions where;
};

}  // namespace poplarfork::cli
