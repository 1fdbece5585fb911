#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" 4 store-down
