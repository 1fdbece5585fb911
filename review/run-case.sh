#!/usr/bin/env bash
# Runs a case of the stand-ins: run-case.sh FOLDER NAME. The record is written into the folder.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d) || exit 2
rm -f "review/$1/record.txt"
timeout -k 2 117 review/bin/standin case "$2" "review/$1/record.txt" "$work"
status=$?
rm -rf "$work"
[ "$status" -le 1 ] || exit 2
exit "$status"
