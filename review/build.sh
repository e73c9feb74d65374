#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts into target/, without a network: they use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review/rig -buildvcs=false -o ../../target/review-rig .
