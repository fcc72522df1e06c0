#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program with the store, the
# upstreams and the callers of all its scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/cases2 ./review/cases2
