#!/usr/bin/env bash
# Tests a small fleet of real processes on free ports: a stand-in store, three
# stand-in upstreams and two daemons.
# Usage: end_to_end_test.sh BUILD_FOLDER
set -u
bin=$1
dir=$(mktemp -d)
declare -A pid
failures=0
cleanup() {
  for p in "${pid[@]}"; do kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap cleanup EXIT

start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pid[$name]=$!
}
# wait_for PATTERN FILE COUNT: waits until at least COUNT lines of FILE match
# PATTERN. The limit of 60 s only ends a test that would hang otherwise.
wait_for() {
  for _ in $(seq 600); do
    [ "$(grep -c "$1" "$2" 2>/dev/null)" -ge "$3" ] && return 0
    sleep 0.1
  done
  echo "no line with '$1' in $2"
  tail -5 "$2"
  exit 1
}
# check DESCRIPTION ACTUAL EXPECTED
check() {
  if [ "$2" = "$3" ]; then
    echo "ok: $1"
  else
    echo "FAILED: $1: got '$2', expected '$3'"
    failures=$((failures + 1))
  fi
}
# field DAEMON NAME: prints a text field of the "started" log line of a daemon.
field() { grep -m1 '"event":"started"' "$dir/$1.log" | grep -o "\"$2\":\"[^\"]*\"" | cut -d'"' -f4; }
# status CURL_ARGUMENT...: sends a request and prints the status of the response.
status() { curl -s -m 20 -o "$dir/body" -D "$dir/head" -w '%{http_code}' "$@"; }
# Prints the field Poplarfork-Outcome of the last response.
outcome() { tr -d '\r' <"$dir/head" | awk -F': ' 'tolower($1) == "poplarfork-outcome" {print $2}'; }
# order ADDRESS KEY [CURL_OPTION...]: sends a non-repeatable request with KEY as its
# idempotency key and prints the status of the response.
order() {
  local address=$1 key=$2
  shift 2
  status -X POST -d 'item=cord' -H 'Host: test.example' -H "Idempotency-Key: $key" "$@" "http://$address/orders"
}

start store "$bin/poplarfork-standin" --role=store
start up "$bin/poplarfork-standin" --role=upstream --count=3 --slots=3
wait_for listening "$dir/store.log" 1
wait_for listening "$dir/up.log" 3
store=$(awk '/listening/{print $2}' "$dir/store.log")
mapfile -t ups < <(awk '/listening/{print $2}' "$dir/up.log")
# settings NAME DATA_CENTRE SEEDS: writes the settings file of a daemon.
settings() {
  cat >"$dir/$1.yaml" <<S
edge_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
data_centre: $2
store_address: $store
cluster_key: end-to-end
address_lifetime_ms: 1000
store_timeout_ms: 500
seeds: [$3]
S
}
settings d1 dc-1 ""
start d1 "$bin/poplarforkd" --settings="$dir/d1.yaml"
wait_for '"ready":true' "$dir/d1.log" 1
settings d2 dc-2 "$(field d1 peer)"
start d2 "$bin/poplarforkd" --settings="$dir/d2.yaml"
wait_for '"ready":true' "$dir/d2.log" 1
wait_for '"change":"joined"' "$dir/d1.log" 1
e1=$(field d1 edge)
e2=$(field d2 edge)
a1=$(field d1 admin)
a2=$(field d2 admin)

{
  printf 'id: first\nauthor: test\ntitle: first\nadd:\n  services:\n'
  printf '    - {name: orders, detection: detection-fast, urgency: urgent, floor: 0.5, deadline_ms: 8000, retry_ratio: 0.1, max_in_flight: 300, require_key: false, resume_by_range: true}\n'
  printf '  upstreams:\n'
  for i in 0 1 2; do
    printf '    - {name: orders-%d, service: orders, address: "%s", data_centre: dc-%d, slots: 3, max_connections: 350}\n' "$i" "${ups[$i]}" $((i + 1))
  done
  printf '  routes:\n    - {host: test.example, path_prefix: /, method: GET, service: orders, repeatable: true}\n'
  printf '    - {host: test.example, path_prefix: /orders, method: POST, service: orders, repeatable: false}\n'
} >"$dir/first.yaml"

check "a request is not run while no configuration is in force" "$(status -H 'Host: test.example' "http://$e1/a") $(outcome)" "503 not-run"
"$bin/poplarfork" --daemon="$a1" publish "$dir/first.yaml" >"$dir/publish.log"
check "a release note is accepted" $? 0
"$bin/poplarfork" --daemon="$a2" publish "$dir/first.yaml" >"$dir/publish.log"
check "publishing the same note through another daemon is accepted" $? 0
check "the note has the same revision when it is published again" "$(grep -o 'revision [0-9]*' "$dir/publish.log")" "revision 1"
wait_for '"event":"revision_in_force"' "$dir/d1.log" 1
wait_for '"event":"revision_in_force"' "$dir/d2.log" 1

check "a request is routed" "$(status -H 'Host: test.example' "http://$e1/a")" 200
check "a request for an unknown host is not run" "$(status -H 'Host: other' "http://$e1/a") $(outcome)" "421 not-run"
check "a request with a method that has no route is not run" "$(status -X PUT -H 'Host: test.example' "http://$e1/a") $(outcome)" "404 not-run"
check "a large body arrives completely" "$(status -H 'Host: test.example' "http://$e2/body?bytes=3000000&seed=1") $(stat -c %s "$dir/body")" "200 3000000"

check "a non-repeatable request runs" "$(order "$e1" key-1)" 200
check "sending the same request again through another daemon gets a response" "$(order "$e2" key-1)" 200
check "the repeated request gets the retained response of the first run" "$(grep -ci 'poplarfork-repeated: true' "$dir/head")" 1
runs=0
for up in "${ups[@]}"; do
  runs=$((runs + $(curl -s "http://$up/control/runs?key=key-1" | grep -o '"started":[0-9]*' | head -1 | cut -d: -f2)))
done
check "the non-repeatable request ran once" "$runs" 1

for up in "${ups[@]}"; do
  curl -s -o /dev/null -X POST -d '{"kind":"cut_body","path":"/orders"}' "http://$up/control/fault"
done
check "a truncated response to a non-repeatable request has an unknown outcome" "$(order "$e1" key-cut) $(outcome)" "502 unknown"
for up in "${ups[@]}"; do
  curl -s -o /dev/null -X POST -d '{"kind":"none"}' "http://$up/control/fault"
done

curl -s -o /dev/null -X POST -d '{"kind":"down","mode":"hang"}' "http://$store/fault"
check "requests are routed while the store is down" "$(status -H 'Host: test.example' "http://$e1/a")" 200
check "a request with a caller-supplied key has an unknown outcome while the store is down" "$(order "$e1" key-2) $(outcome)" "502 unknown"
check "a request marked as a first send is not run while the store is down" "$(order "$e1" key-3 -H 'Poplarfork-First-Send: true') $(outcome)" "503 not-run"
minted=$(tr -d '\r' <"$dir/head" | awk -F': ' 'tolower($1) == "poplarfork-minted-key" {print $2}')
check "a request with the minted key from that refusal runs while the store is down" "$(order "$e1" "$minted")" 200
"$bin/poplarfork" --daemon="$a1" publish "$dir/first.yaml" >/dev/null
check "publishing an already published note is accepted while the store is down" $? 0
sed 's/^id: first/id: second/; s/^title: .*/title: second/; /^add:/,$d' "$dir/first.yaml" >"$dir/second.yaml"
printf 'withdraw:\n  services:\n    - orders\n' >>"$dir/second.yaml"
"$bin/poplarfork" --daemon="$a1" publish "$dir/second.yaml" >/dev/null 2>&1
check "publishing a new note is rejected or has an unknown outcome while the store is down" "$(($? == 1 || $? == 3))" 1
curl -s -o /dev/null -X POST -d '{"kind":"none"}' "http://$store/fault"

status -H 'Host: test.example' "http://$e1/slow?service_ms=3000" >"$dir/slow" &
slow=$!
wait_for '"event":"route".*"identity"' "$dir/d1.log" 1
sleep 0.5
kill -TERM "${pid[d1]}"
wait $slow
check "a graceful shutdown lets a request in flight finish" "$(cat "$dir/slow")" 200
wait_for '"step":"exit"' "$dir/d1.log" 1
wait_for '"change":"le' "$dir/d2.log" 1

for _ in $(seq 100); do
  "$bin/poplarfork" --daemon="$a2" publish "$dir/second.yaml" >/dev/null 2>&1 && break
  sleep 0.1
done
wait_for '"revision":2' "$dir/d2.log" 1
check "a request to a withdrawn service gets 410 and is not run" "$(status -H 'Host: test.example' "http://$e2/a") $(outcome)" "410 not-run"
exit $((failures > 0))
