#include "note/note_problem_func.h"

#include "base/error_func.h"

namespace poplarfork::note {

std::string ToString(const NoteProblem& problem) {
  std::string text;
  if (problem.line > 0)
    text += "line " + std::to_string(problem.line) + ": ";
  if (!problem.key.empty())
    text += problem.key + ": ";
  text += base::make_error_code(problem.code).message();
  if (!problem.detail.empty())
    text += ": " + problem.detail;
  return text;
}

base::Error JoinProblems(const NoteProblems& problems,
                         base::Step step,
                         const std::string& file_name) {
  std::string detail;
  for (const NoteProblem& problem : problems) {
    if (!detail.empty())
      detail += "\n";
    detail += ToString(problem);
  }
  return base::MakeError(problems.front().code, step, file_name, detail);
}

int FindLine(const NoteSource& source, const std::string& key) {
  int line = 0;
  std::size_t longest_match = 0;
  for (const NoteLine& note_line : source.lines) {
    const bool is_prefix =
        key.compare(0, note_line.key.size(), note_line.key) == 0;
    if (is_prefix && note_line.key.size() >= longest_match) {
      longest_match = note_line.key.size();
      line = note_line.line;
    }
  }
  return line;
}

}  // namespace poplarfork::note
