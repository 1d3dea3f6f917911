# Functions shared by the demo and the benchmarks, to be sourced. The caller sets
# the variables bin, out, demo and instances.

pids=

# finish terminates all started processes and waits for them.
finish() {
	for p in $pids; do kill "$p" 2>/dev/null || true; done
	for p in $pids; do wait "$p" 2>/dev/null || true; done
}

# start_fleet starts the fake endpoints and the instances and waits until all are
# ready. It sets targets to the addresses of the instances and router_N to the process
# ID of instance N.
start_fleet() {
	mkdir -p "$out"
	trap finish EXIT INT TERM
	names=
	for n in $(seq "$instances"); do names="$names router-$n"; done
	"$bin/ivyctl" keys "$out/keys" $names
	"$bin/ivyfake" -c "$demo/fakes.yaml" >"$out/fakes.log" 2>&1 &
	pids="$pids $!"
	targets=
	for n in $(seq "$instances"); do
		dc=$(echo ams-a ams-b rtm-c | cut -d' ' -f$(((n - 1) % 3 + 1)))
		sed "s|@N@|$n|g; s|@DC@|$dc|; s|@KEYS@|$out/keys|" "$demo/settings.template.yaml" >"$out/router-$n.yaml"
		"$bin/ivyrouted" -c "$out/router-$n.yaml" >"$out/router-$n.log" 2>&1 &
		eval "router_$n=$!"
		pids="$pids $!"
		targets="$targets,127.0.0.1:710$n"
	done
	targets=${targets#,}
	IVYCTL_TOKEN=demo-operator
	export IVYCTL_TOKEN
	for try in $(seq 100); do
		if "$bin/ivyctl" -a 127.0.0.1:7201 'show config where keys_settled = true' 2>/dev/null | grep -c current | grep -q "^$instances\$"; then return; fi
		sleep 0.2
	done
	echo "the fleet is not ready; see the logs in $out" >&2
	exit 1
}
