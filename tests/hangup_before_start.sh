#!/usr/bin/env bash
# SIGHUP comes while the program still waits for its first configuration: it is taken up after the start.
set -euo pipefail
[ -n "${BOUNDED:-}" ] || BOUNDED=1 exec timeout 30 bash "$0" "$@" # a pipe that nobody reads is no wait for ever
program=$1 folder=$(mktemp -d)
sed 's/127.0.0.1:8080/127.0.0.1:0/' "$2" > "$folder/text"
mkfifo "$folder/config"
"$program" serve --config "$folder/config" --log-level error & pid=$!
trap 'kill -9 $pid 2>/dev/null || true; rm -rf "$folder"' EXIT
exec 3> "$folder/config"   # it reads
kill -HUP $pid
cat "$folder/text" >&3
exec 3>&-
cat "$folder/text" > "$folder/config" # it reads again
kill -TERM $pid
status=0
wait $pid || status=$?
[ "$status" = 0 ]
