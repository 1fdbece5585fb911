#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" 1 whole-executors
