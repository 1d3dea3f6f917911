#!/bin/sh
# Kills the home of the screening cell, the instance that holds its queue, at about half of the
# capacity of the fleet. Prints the share of requests that met their targets in the ten seconds before
# and after. All started processes are terminated on exit.
set -eu
here=$(dirname "$0")
demo=$here/../demo/huurtoets
bin=${BIN:-bin}
out=${OUT:-out/kill}
instances=6
mark=20
. "$demo/fleet.sh"
start_fleet
"$bin/ivyload" run -w "$here/steady.yaml" -t "$targets" -o "$out" -f 127.0.0.1:7900 -s "${SEED:-1}" -k $mark &
load=$!
sleep $((mark - 2))
home=$("$bin/ivyctl" -a 127.0.0.1:7201 'show cells where rank = 0' | awk '/^screening/ {print $2}')
sleep 2
eval "victim=\$router_${home#router-}"
kill -9 "$victim"
echo "killed $home, the home of the screening cell"
wait $load
