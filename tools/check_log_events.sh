#!/usr/bin/env bash
# Fails if the gateway writes a log event, or a member of a log event, that the
# table in docs/OPERATIONS.md does not describe.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0
while read -r event; do
  if ! grep -q "^| \`$event\` |" docs/OPERATIONS.md; then
    echo "docs/OPERATIONS.md does not describe the event $event" >&2
    failed=1
  fi
done < <(tr '\n' ' ' <<<"$(cat src/gateway/*.cc)" |
  grep -oE 'Log\(gateway, *"[a-z_]+"' | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
while read -r member; do
  if ! grep -qE "\`$member\`" docs/OPERATIONS.md; then
    echo "docs/OPERATIONS.md does not describe the member $member" >&2
    failed=1
  fi
done < <(grep -ohE '\{"[a-z_]+",' $(ls src/gateway/*.cc | grep -v settings_table) |
  grep -oE '[a-z_]+' | sort -u |
  grep -vxE 'peer_address|control_address|reason')
[ "$failed" = 0 ] && echo "all log events are described"
exit "$failed"
