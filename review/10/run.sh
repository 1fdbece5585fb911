#!/usr/bin/env bash
# Plays the case "lost-large-executor"; claim.txt says what it shows. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
program=target/src/citronferry
world=review/build-2/world
[ -x "$program" ] && [ -x "$world" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 112 "$world" lost-large-executor "$program" "$folder" "review/10/record.txt"
result=$?
case $result in 0 | 1 | 2) exit $result ;; *) exit 2 ;; esac
