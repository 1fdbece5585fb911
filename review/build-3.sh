#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy
# file. Needs no package beyond those of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -O2 -std=c++20 review/support-3/standin.cc -o target/review-3/standin -pthread
