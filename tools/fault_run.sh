#!/usr/bin/env bash
# Sends orders through five daemon processes while daemons are killed and paused
# and the store is unavailable, and counts how often the upstreams ran each
# order. Two senders use the same idempotency keys, so that every order is sent
# twice, through different daemons. Fails if an order ran more than once.
# Usage: tools/fault_run.sh [SECONDS] [ORDERS_PER_SECOND]
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-120}
rate=${2:-85}
bin=$PWD/build
dir=$(mktemp -d)
declare -A pid
cleanup() {
  for p in "${pid[@]}"; do
    kill -CONT "$p" 2>/dev/null || true
    kill -KILL "$p" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap cleanup EXIT

start() {
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pid[$name]=$!
}
daemon() { start "d$1" "$bin/poplarforkd" --settings="$dir/d$1.yaml"; }
wait_for() {
  for _ in $(seq 400); do
    [ "$(grep -c "$1" "$2" 2>/dev/null || true)" -ge "$3" ] && return 0
    sleep 0.05
  done
  echo "no line with '$1' in $2" >&2
  exit 1
}

start store "$bin/poplarfork-standin" --role=store
start up "$bin/poplarfork-standin" --role=upstream --count=6 --slots=3
wait_for listening "$dir/store.log" 1
wait_for listening "$dir/up.log" 6
store=$(awk '/listening/{print $2}' "$dir/store.log")
mapfile -t ups < <(awk '/listening/{print $2}' "$dir/up.log")
{
  printf 'id: fault-run\nauthor: test\ntitle: orders\nadd:\n  services:\n'
  printf '    - {name: orders, detection: detection-fast, urgency: urgent, floor: 0.5, deadline_ms: 5000, retry_ratio: 0.1, max_in_flight: 300, require_key: true, resume_by_range: false}\n'
  printf '  upstreams:\n'
  for i in "${!ups[@]}"; do
    printf '    - {name: orders-%d, service: orders, address: "%s", data_centre: dc-%d, slots: 3, max_connections: 350}\n' \
      "$i" "${ups[$i]}" $((i % 3 + 1))
  done
  printf '  routes:\n    - {host: orders.example, path_prefix: /, method: POST, service: orders, repeatable: false}\n'
} >"$dir/note.yaml"
for i in 1 2 3 4 5; do
  printf 'edge_address: 127.0.0.1:1640%d\nadmin_address: 127.0.0.1:1650%d\npeer_address: 127.0.0.1:1660%d\ndata_centre: dc-%d\nstore_address: %s\ncluster_key: fault-run\nseeds: [127.0.0.1:16601, 127.0.0.1:16602, 127.0.0.1:16605]\n' \
    "$i" "$i" "$i" $((i % 3 + 1)) "$store" >"$dir/d$i.yaml"
  daemon "$i"
done
for i in 1 2 3 4 5; do wait_for '"ready":true' "$dir/d$i.log" 1; done
"$bin/poplarfork" --daemon=127.0.0.1:16501 publish "$dir/note.yaml"
for i in 1 2 3 4 5; do wait_for '"event":"revision_in_force"' "$dir/d$i.log" 1; done

send() { # send NAME TARGETS
  "$bin/bench_load" --targets="$2" --host=orders.example --path=/orders \
    --method=POST --keys --body_bytes=20 --rate="$rate" --connections=24 \
    --seconds="$seconds" --warm_up_seconds=0 --slice_ms=1000000 \
    --timeout_ms=6000 --verify >"$dir/$1.log" 2>&1 &
  pid[$1]=$!
}
# The only target of each sender is a daemon that is not killed, so that the
# senders end by themselves.
send first 127.0.0.1:16401
send second 127.0.0.1:16402

part=$((seconds / 6))
sleep "$part"
echo "kill daemon 3 and 4"
kill -KILL "${pid[d3]}" "${pid[d4]}"
sleep "$part"
echo "start daemon 3 and 4, pause daemon 2 for 5 s"
daemon 3
daemon 4
kill -STOP "${pid[d2]}"
sleep 5
kill -CONT "${pid[d2]}"
sleep "$part"
echo "store away for $part s"
curl -s -X POST -d '{"kind":"down","mode":"hang"}' "http://$store/fault" >/dev/null
sleep "$part"
curl -s -X POST -d '{"kind":"none"}' "http://$store/fault" >/dev/null
echo "store back; the next 20 writes take effect with their replies lost"
sleep 2
curl -s -X POST -d '{"kind":"lose_reply","count":20}' "http://$store/fault" >/dev/null
echo "kill daemon 5"
kill -KILL "${pid[d5]}"
wait "${pid[first]}" "${pid[second]}"

echo "first sender:"
cat "$dir/first.log"
echo "second sender:"
cat "$dir/second.log"
for up in "${ups[@]}"; do
  curl -s "http://$up/control/runs" >>"$dir/runs.json"
  echo >>"$dir/runs.json"
done
# Writes one line per key and upstream: the key and the number of times that an
# order with this key was started there.
jq -r '.runs | to_entries[] | "\(.value.key // .key) \(.value.started)"' "$dir/runs.json" >"$dir/runs"
runs=$(awk '{s += $2} END {print s + 0}' "$dir/runs")
distinct=$(cut -d' ' -f1 "$dir/runs" | sort -u | wc -l)
echo "orders run: $runs, distinct keys run: $distinct, doubled: $((runs - distinct))"
echo "answers of the claim core at daemons 1 and 2, by reason:"
grep -h '"event":"claim"' "$dir/d1.log" "$dir/d2.log" |
  grep -oE '"decision":"[a-z_]*","detail":"[a-z_]*' | sort | uniq -c | sort -rn | head -12
[ -n "${KEEP_LOGS:-}" ] && echo "logs are in $dir" || rm -rf "$dir"
[ "$runs" -eq "$distinct" ]
