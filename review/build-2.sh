#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10; they use the standard library only and belong to no module.
set -euo pipefail
cd "$(dirname "$0")/ground"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../../target/review-ground ./*.go
