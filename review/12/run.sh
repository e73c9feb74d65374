#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig3 ] && [ -x target/verbenaentry ] || exit 2
timeout 118 target/rig3 released review/12
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
