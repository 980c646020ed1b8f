#!/usr/bin/env bash
# SIGHUP comes while the program still waits for its first configuration: it is taken up after the start. What it
# reads then is a file put in the pipe's place once the pipe is open, so that no second reading waits for a writer.
#   hangup_before_start.sh WANTED_LINE CONFIGURATION COMMAND...: the command's last argument is the file's path
set -euo pipefail
[ -n "${BOUNDED:-}" ] || BOUNDED=1 exec timeout 30 bash "$0" "$@" # a pipe that nobody reads is no wait for ever
wanted=$1 configuration=$2 folder=$(mktemp -d)
shift 2
network=127.$((100 + $$ / 250 % 100)).$((1 + $$ % 250)) # of this run's own
sed "s/127.0.0.1:8080/127.0.0.1:0/; s/127\.0\.0\.\([0-9][0-9]\)/$network.\1/
  s|\"data/|\"$folder/data/|" "$configuration" > "$folder/text"
mkdir -p "$folder/data/control-1"
mkfifo "$folder/config"
"$@" "$folder/config" > "$folder/log" 2>&1 & pid=$!
trap 'kill -9 $pid 2>/dev/null || true; rm -rf "$folder"' EXIT
exec 3> "$folder/config" # it reads
kill -HUP $pid
cp "$folder/text" "$folder/again"
mv "$folder/again" "$folder/config"
cat "$folder/text" >&3
kill -TERM $pid # both are read in their order, whenever it has started
exec 3>&-
status=0
wait $pid || status=$?
[ "$status" = 0 ]
grep -q "$wanted" "$folder/log"
