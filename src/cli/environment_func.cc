#include "cli/environment_func.h"

#include <fstream>
#include <random>
#include <sstream>
#include <string>

#include "cli/admin_client_func.h"

namespace poplarfork::cli {

namespace {

bool ReadFile(const std::string& file_name, std::string& text) {
  std::ifstream file(file_name, std::ios::binary);
  if (!file)
    return false;
  std::ostringstream content;
  content << file.rdbuf();
  text = content.str();
  return !file.bad();
}

std::string GenerateNoteId() {
  constexpr int kRandomWordCount = 4;
  std::random_device device;
  std::ostringstream id;
  id << "note-" << std::hex;
  for (int i = 0; i < kRandomWordCount; ++i)
    id << device();
  return id.str();
}

}  // namespace

Environment MakeEnvironment() {
  return Environment{SendAdminRequest, ReadFile, GenerateNoteId};
}

}  // namespace poplarfork::cli
