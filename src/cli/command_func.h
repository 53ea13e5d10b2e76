#pragma once

#include <functional>
#include <string>

#include "cli/admin_client_type.h"
#include "cli/command_result_type.h"
#include "cli/options_type.h"

namespace poplarfork::cli {

// The access of the commands to daemons, files and random numbers. Tests
// replace it.
struct Environment {
  std::function<AdminResponse(const AdminRequest&)> send_admin_request;
  // Reads a file into `text`. Returns false if the file cannot be read.
  std::function<bool(const std::string& file_name, std::string& text)>
      read_file;
  std::function<std::string()> generate_note_id;
};

// Runs the command that the options name.
CommandResult RunCommand(const Options& options,
                         const Environment& environment);

}  // namespace poplarfork::cli
