#!/usr/bin/env bash
# Builds what the scripts of the third review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/rig3 review/rig-3/*.go
