#!/usr/bin/env bash
# Runs clang-tidy over one source file: tools/check_lint_file.sh BUILD FILE
# The name of a passed file's record is a hash of everything that clang-tidy
# reads: the preprocessed file with all its headers, the compiler flags, the
# enabled checks and the version of clang-tidy.
set -eu
build=$1
file=$2
records=${POPLARFORK_LINT_RECORDS:-$HOME/.cache/poplarfork-lint}
mkdir -p "$records"
command=$(jq -r --arg f "$PWD/$file" 'map(select(.file == $f))[0].command // empty' \
  "$build/compile_commands.json")
if [ -z "$command" ]; then
  echo "$file: not in the build" >&2
  exit 1
fi
# Turns the build's compile command into one that only preprocesses: without the
# ccache launcher and the output file, and with -E in place of -c.
preprocess=$(echo "$command" | sed -E 's/^.*ccache //; s/ -o [^ ]+//; s/ -c / -E /')
hash=$({ eval "$preprocess" 2>/dev/null; cat .clang-tidy; clang-tidy --version; echo "$command" | sed "s#$PWD##g"; } |
  sed "s#$PWD##g" | sha256sum | cut -d' ' -f1)
[ -e "$records/$hash" ] && exit 0
if clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$file" >"$build/lint.$$" 2>&1; then
  touch "$records/$hash"
else
  grep -E 'error|warning' "$build/lint.$$" | grep -v 'warnings generated' || cat "$build/lint.$$"
  rm -f "$build/lint.$$"
  exit 1
fi
rm -f "$build/lint.$$"
