#!/usr/bin/env bash
# Fails if a source file is not formatted as .clang-format requires.
set -eu
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.' |
  xargs -r clang-format --dry-run --Werror
echo "formatting is clean"
