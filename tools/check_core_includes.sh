#!/usr/bin/env bash
# Fails if the decision core includes a header or makes a call with which it
# could read a clock, open a socket or a file, start a thread or use a random
# device. The core gets time and random numbers from its caller, so that its
# decisions can be replayed.
set -u
cd "$(dirname "$0")/.." || exit 1
folders=()
for name in base note release routing health load claim membership address core fleet allowance dispatch request; do
  [ -d "src/$name" ] && folders+=("src/$name")
done
forbidden='#include <(boost/asio|boost/beast|cpprest|zmq|thread|mutex|future|fstream|filesystem|sys/|unistd|netinet|arpa/|time\.h|ctime|condition_variable|easylogging)'
forbidden+='|random_device|steady_clock::now|system_clock::now|high_resolution_clock|std::getenv|randombytes'
forbidden+='|#include "(settings|store|vm_list|peer|edge|upstream|datagram|gateway|logging|metrics|daemon|cli|replay|standin)/'
if grep -rnE "$forbidden" "${folders[@]}" --include='*.h' --include='*.cc'; then
  echo "the decision core must not use the lines above" >&2
  exit 1
fi
echo "decision core is free of I/O, clocks, threads and random devices"
