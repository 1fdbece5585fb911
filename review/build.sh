#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
objects=()
pids=()
for source in standins/*.cc; do
  object=bin/$(basename "$source" .cc).o
  objects+=("$object")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
${CXX:-g++} "${objects[@]}" -pthread -o bin/standin
