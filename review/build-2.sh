#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/. It needs the
# packages of deploy/system.toml and no network.
set -eu
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -DBOOST_ASIO_DISABLE_CO_AWAIT -Isrc
       -Ireview/standin-2)
objects=()
compile() {
  g++ "${flags[@]}" -c "$1" -o "$2"
}
for source in review/standin-2/fleet.cpp src/standin/http_server_func.cc \
              src/standin/platform_store_func.cc; do
  object=$out/$(basename "${source%.*}").o
  compile "$source" "$object" &
  objects+=("$object")
done
for source in review/standin-2/*_main.cpp; do
  compile "$source" "$out/$(basename "$source" .cpp).o" &
done
for job in $(jobs -p); do
  wait "$job"
done
for source in review/standin-2/*_main.cpp; do
  name=$(basename "$source" _main.cpp)
  g++ "$out/${name}_main.o" "${objects[@]}" -o "$out/$name" \
    -lsodium -lboost_system -lpthread
done
echo "the stand-ins are in $out"
