#!/usr/bin/env bash
# Fails if a page of the documentation links to a file that does not exist.
set -eu
cd "$(dirname "$0")/.."
status=0
while IFS=: read -r page link; do
  target=$(dirname "$page")/${link%%#*}
  [ -e "$target" ] || { echo "$page links to $link, which does not exist"; status=1; }
done < <(grep -roE '\]\([^)]+\)' --include='*.md' README.md docs | sed -E 's/\]\(([^)]+)\)/\1/' | grep -v ':http')
exit $status
