#!/bin/sh
# Runs the demo: starts fake endpoints and six instances, sends the rental-season
# load and writes a report. All started processes are terminated on exit.
set -eu
demo=$(dirname "$0")
bin=${BIN:-bin}
out=${OUT:-out/demo}
instances=6
. "$demo/fleet.sh"
start_fleet
"$bin/ivyctl" -a 127.0.0.1:7201 'show config'
"$bin/ivyload" run -w "$demo/workload.yaml" -t "$targets" -o "$out" -f 127.0.0.1:7900 -s "${SEED:-1}" &
load=$!
sleep 20
echo
echo "During the burst, as reported by router-2:"
"$bin/ivyctl" -a 127.0.0.1:7202 'show queued by class' || true
"$bin/ivyctl" -a 127.0.0.1:7202 'show refused by class, reason over 10s' || true
wait $load
echo "The report is in $out: report.json, report.txt, attainment.svg, open.svg"
