#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts into target/, without a network: they use only the standard library. The files are named to go build, so
# that they belong to no module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -buildvcs=false -o target/review-rig review/rig/*.go
