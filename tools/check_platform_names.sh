#!/usr/bin/env bash
# Fails if a name of the users' platform protocol is used outside its adapter in
# platform/, because the product uses names of its own. Tests and stand-ins are
# exempt, because they speak the platform's protocol.
set -u
cd "$(dirname "$0")/.." || exit 1
names='Attempt-Id|[^-]Deadline-Ms|Target-Instance|Instance-Id|Response-Signature'
names+='|Not-Executed|Backend-Load|Store-Era|kv-(key|txn|watch|range|lease|keep)'
names+='|trafficSplit|warmupLeft|routeType|targetLatency|pathPrefix|op/config'
names+='|healthPath|maxAttempts|non_idempotent|/readiness|/resolve'
if git grep -nE "$names" -- 'src/*.cc' 'src/*.h' 'bench' ':!src/standin'; then
  echo "the platform's names above belong into platform/" >&2
  exit 1
fi
echo "no name of the platform outside platform/"
