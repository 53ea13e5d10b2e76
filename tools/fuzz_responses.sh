#!/usr/bin/env bash
# Runs the fuzz target of the response parser for a fixed number of inputs from
# a fixed seed: tools/fuzz_responses.sh [BUILD [RUNS [SEED]]]
# An input that fails is kept in BUILD. New inputs are not added to the corpus.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build-fuzz}
runs=${2:-20000}
seed=${3:-20261206}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
  -DPOPLARFORK_FUZZ=ON -DPOPLARFORK_PROGRAM=gateway
cmake --build "$build" --target fuzz_responses
rm -rf "$build/new-inputs"
mkdir "$build/new-inputs"
echo "fuzz_responses: seed $seed, $runs runs"
"$build/fuzz_responses" -seed="$seed" -runs="$runs" -max_len=4096 -timeout=60 \
  -rss_limit_mb=1024 -dict=tests/fuzz/responses.dict -print_final_stats=1 \
  -artifact_prefix="$build/" "$build/new-inputs" tests/fuzz/corpus/responses
