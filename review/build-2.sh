#!/usr/bin/env bash
# Builds the program that the scripts of review/6 to review/10 start, into review/build-2/. It needs
# only the compiler and the headers of Boost, which are packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
objects=()
jobs=()
for source in standins-2/*.cc; do
  object=build-2/$(basename "$source" .cc).o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ "${objects[@]}" -pthread -o build-2/world
echo "built review/build-2/world"
