#!/usr/bin/env bash
# Runs the case in the folder $1 and ends all processes that it started.
set -u
folder="$1"
cd "$folder/../.." || exit 2
driver="target/review/case-${folder##*/}"
[ -x "$driver" ] || { echo "cannot run: $driver is missing; review/build.sh builds it"; exit 2; }
work="$(mktemp -d)" || exit 2
pid=""
cleanup() {
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null
    # The driver ends the proxy itself and removes this file, unless it was ended before.
    [ ! -s "$work/proxy.pid" ] || kill -KILL "$(cat "$work/proxy.pid")" 2>/dev/null
    rm -rf "$work"
}
trap 'exit 2' INT TERM HUP
trap cleanup EXIT
RECORD="$folder/record.txt" WORK="$work" "$driver" &
pid=$!
# The driver needs under a minute; one that hangs is ended.
for _ in $(seq 1100); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "$pid" 2>/dev/null; then
    echo "cannot run: not finished after 110 s"
    exit 2
fi
wait "$pid"
code=$?
pid=""
case "$code" in 0 | 1 | 2) exit "$code" ;; esac
exit 2
