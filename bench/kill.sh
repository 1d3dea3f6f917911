#!/bin/sh
# Kills the home of the screening cell with SIGKILL at full load, and prints
# attainment in the ten seconds before and after. Everything it starts it ends.
set -eu
here=$(dirname "$0")
demo=$here/../demo/huurtoets
bin=${BIN:-bin}
out=${OUT:-out/kill}
mark=20
mkdir -p "$out"
pids=
finish() {
	for p in $pids; do kill "$p" 2>/dev/null || true; done
	for p in $pids; do wait "$p" 2>/dev/null || true; done
}
trap finish EXIT INT TERM
"$bin/ivyctl" keys "$out/keys" router-1 router-2 router-3 router-4 router-5 router-6
"$bin/ivyfake" -c "$demo/fakes.yaml" >"$out/fakes.log" 2>&1 &
pids="$pids $!"
targets=
for n in 1 2 3 4 5 6; do
	dc=$(echo ams-a ams-b rtm-c | cut -d' ' -f$(((n - 1) % 3 + 1)))
	sed "s|@N@|$n|g; s|@DC@|$dc|; s|@KEYS@|$out/keys|" "$demo/settings.template.yaml" >"$out/router-$n.yaml"
	"$bin/ivyrouted" -c "$out/router-$n.yaml" >"$out/router-$n.log" 2>&1 &
	eval "router_$n=$!"
	pids="$pids $!"
	targets="$targets,127.0.0.1:710$n"
done
export IVYCTL_TOKEN=demo-operator
for try in $(seq 50); do
	if "$bin/ivyctl" -a 127.0.0.1:7201 'show config where keys_settled = true' 2>/dev/null | grep -c current | grep -q '^6$'; then break; fi
	sleep 0.2
done
"$bin/ivyload" run -w "$here/steady.yaml" -t "${targets#,}" -o "$out" -f 127.0.0.1:7900 -s "${SEED:-1}" -k $mark &
load=$!
sleep $((mark - 2))
home=$("$bin/ivyctl" -a 127.0.0.1:7201 'show cells where rank = 0' | awk '/^screening/ {print $2}')
sleep 2
eval "victim=\$router_${home#router-}"
kill -9 "$victim"
echo "killed $home, the home of the screening cell"
wait $load
