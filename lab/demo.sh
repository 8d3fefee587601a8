#!/bin/sh
# Starts the association's deployment on loopback, drives it, and stops it cleanly.
set -u
bin=$1
run=$(mktemp -d)
$bin/python -m lab.demo plan "$run" || exit 1
while IFS='	' read -r name command; do
    $command >"$run/$name.log" 2>&1 &
    echo $! >"$run/$name.pid"
done <"$run/commands"
$bin/python -m lab.demo drive "$run"
verdict=$?
stopped=0
for role in entry agent ledger; do
    for file in "$run/$role"-*.pid; do kill -TERM "$(cat "$file")" 2>/dev/null; done
    for file in "$run/$role"-*.pid; do
        [ -f "$file.killed" ] && continue
        wait "$(cat "$file")" || { echo "$file: exit $?"; stopped=1; }
    done
done
for file in "$run"/*.pid; do kill -KILL "$(cat "$file")" 2>/dev/null; done
wait
[ $stopped = 0 ] && echo "all processes of the system stopped cleanly"
[ $verdict = 0 ] && [ $stopped = 0 ] && rm -rf "$run" && exit 0
echo "the demo failed; its logs are in $run"
exit 1
