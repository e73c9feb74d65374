#!/usr/bin/env bash
# Builds what the scripts of the third review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review/rig-3 -o "$PWD/target/rig3" .
