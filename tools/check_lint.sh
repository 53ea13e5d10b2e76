#!/usr/bin/env bash
# Runs clang-tidy over all sources, or only over those in the folders that are
# given after the build folder: tools/check_lint.sh build src/health tests/health
# A file that has already passed with the same preprocessed text is not checked
# again; the records of passed files are in ~/.cache/poplarfork-lint.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build-lint}
shift || true
# clang-tidy cannot read the precompiled headers of g++, so it uses a build
# folder of its own, which is configured without them and never built.
cmake -S . -B "$build" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
if git grep -nw NULL -- '*.h' '*.cc' ':!*.pb.*'; then
  echo "use nullptr" >&2
  exit 1
fi
git ls-files -co --exclude-standard '*.cc' | grep -v '\.pb\.' |
  { if [ $# -gt 0 ]; then grep -E "^($(IFS='|'; echo "$*"))/"; else cat; fi; } |
  xargs -r -P "$(nproc)" -n 1 tools/check_lint_file.sh "$build"
echo "clang-tidy is clean"
