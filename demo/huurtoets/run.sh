#!/bin/sh
# Runs the demo: stand-ins, six instances, the rental-season wave, a report.
# Everything it starts it ends.
set -eu
here=$(dirname "$0")
bin=${BIN:-bin}
out=${OUT:-out/demo}
instances=${INSTANCES:-6}
workload=${WORKLOAD:-$here/workload.yaml}
extra=${EXTRA_SETTINGS:-}
mkdir -p "$out"
pids=
finish() {
	for p in $pids; do kill "$p" 2>/dev/null || true; done
	for p in $pids; do wait "$p" 2>/dev/null || true; done
}
trap finish EXIT INT TERM

names=
for n in $(seq "$instances"); do names="$names router-$n"; done
"$bin/ivyctl" keys "$out/keys" $names
"$bin/ivyfake" -c "$here/fakes.yaml" >"$out/fakes.log" 2>&1 &
pids="$pids $!"
targets=
for n in $(seq "$instances"); do
	dc=$(echo ams-a ams-b rtm-c | cut -d' ' -f$(((n - 1) % 3 + 1)))
	sed "s|@N@|$n|g; s|@DC@|$dc|; s|@KEYS@|$out/keys|" "$here/settings.template.yaml" >"$out/router-$n.yaml"
	[ -z "$extra" ] || cat "$extra" >>"$out/router-$n.yaml"
	"$bin/ivyrouted" -c "$out/router-$n.yaml" >"$out/router-$n.log" 2>&1 &
	pids="$pids $!"
	targets="$targets,127.0.0.1:710$n"
done
targets=${targets#,}
IVYCTL_TOKEN=demo-operator
export IVYCTL_TOKEN
for try in $(seq 50); do
	if "$bin/ivyctl" -a 127.0.0.1:7201 'show config' 2>/dev/null | grep -c current | grep -q "^$instances\$"; then break; fi
	sleep 0.2
done
"$bin/ivyctl" -a 127.0.0.1:7201 'show config'
"$bin/ivyload" run -w "$workload" -t "$targets" -o "$out" -f 127.0.0.1:7900 -s "${SEED:-1}" &
load=$!
sleep 20
echo
echo "In the wave, asked of router-2:"
"$bin/ivyctl" -a 127.0.0.1:7202 'show queued by class' || true
"$bin/ivyctl" -a 127.0.0.1:7202 'show refused by class, reason over 10s' || true
wait $load
echo "The report is in $out: report.json, report.txt, attainment.svg, open.svg"
