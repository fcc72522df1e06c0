#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-standin ./review/standin
