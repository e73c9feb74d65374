#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
[ -x target/verbenaentry ] && [ -x target/review-ground ] || exit 2
exec timeout -k 2 115 target/review-ground holder review/9/record.txt
