#!/usr/bin/env bash
# Regenerates the committed protobuf code. Run it after a change of a .proto
# file.
set -eu
cd "$(dirname "$0")/../src/proto"
protoc --cpp_out=. ./*.proto
