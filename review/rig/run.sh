#!/usr/bin/env bash
# Runs one case: rig/run.sh CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
case=$1
review=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
program=$review/build/case-$case
[[ -x $program ]] || { echo "run review/build.sh first" >&2; exit 2; }
[[ -x $review/../target/ivyrill-fleet ]] || { echo "build target/ivyrill-fleet first" >&2; exit 2; }
folder=$(mktemp -d "${TMPDIR:-/tmp}/review-$case.XXXXXX")
trap 'rm -rf "$folder"' EXIT
export REVIEW_ROOT=$review/.. REVIEW_FOLDER=$folder REVIEW_RECORD=$review/$case/record.txt
timeout --kill-after=2 110 "$program"
status=$?
[[ -z ${KEEP:-} ]] || cp "$folder"/*.log "$KEEP"/
((status <= 2)) || status=2
exit "$status"
