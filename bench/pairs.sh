#!/usr/bin/env bash
# Runs one scenario for each pair of fault kinds, with overlapping faults, in an external benchmark.
# Prints the pairs that violate a rule or end a process.
#
#   bench/pairs.sh BENCH SITE [JOBS]
#
# BENCH is the program of the benchmark, SITE its site file, and JOBS the number of parallel runs,
# 4 by default. The scenarios are in a temporary directory; those to keep belong in deploy/days.
set -euo pipefail
bench=$1
site=$2
jobs=${3:-4}
days=$(mktemp -d)
trap 'rm -rf "$days"' EXIT

# Fault kinds. The first fault of a pair starts at 10 s and the second at 12 s; each lasts 6 s.
troubles=(
  'kind = "burst", x = 1.8'
  'kind = "shift", share = 0.6'
  'kind = "hot_key", share = 0.3'
  'kind = "hot_tenant", x = 6.0'
  'kind = "retry_abuse", share = 0.3, x = 3.0'
  'kind = "give_up", share = 0.3'
  'kind = "srv_crash", share = 0.2, how = "dark"'
  'kind = "srv_crash", share = 0.3'
  'kind = "srv_grey", share = 0.3, x = 0.5, how = "hang"'
  'kind = "srv_grey", share = 0.3, x = 0.5, how = "shed"'
  'kind = "srv_slow", share = 0.3, x = 5.0'
  'kind = "srv_cut", share = 0.3, how = "fronts", x = 0.5'
  'kind = "replace_with_reuse", share = 0.2, how = "drain"'
  'kind = "replace_with_reuse", share = 0.2, how = "dark"'
  'kind = "scale_in", share = 0.2, how = "spot"'
  'kind = "release", share = 0.4, gap_s = 0.8'
  'kind = "answer_lost", share = 0.5, x = 0.1, how = "reset"'
  'kind = "garble", share = 0.6, x = 0.05, how = "extra late"'
  'kind = "garble", share = 0.6, x = 0.05, how = "unframed early"'
  'kind = "node_kill", share = 0.3, how = "power"'
  'kind = "node_freeze", share = 0.35'
  'kind = "node_slow", share = 0.35, x = 5.0'
  'kind = "roll_term", share = 1.0, gap_s = 1.0, how = "busy"'
  'kind = "hup", share = 0.5, gap_s = 1.0'
  'kind = "clock_step", share = 0.5, x = 3000.0, how = "back"'
  'kind = "reset_conns", share = 0.5, x = 0.6'
  'kind = "core_cut", count = 2, how = "one_way"'
  'kind = "node_cut", share = 0.34, how = "all revoke"'
  'kind = "lossy", x = 0.05'
  'kind = "platform_down", how = "silent lapse"'
  'kind = "platform_down", how = "nodes many revoke meet drain", share = 0.4'
  'kind = "platform_slow", x = 90.0'
  'kind = "platform_compact", x = 5.0, how = "drain"'
  'kind = "config_storm", gap_s = 0.1'
  'kind = "config_change", how = "route"'
  'kind = "big_config", count = 300'
  'kind = "revoke", count = 2, gap_s = 0.5, how = "last"'
  'kind = "herd_kill", share = 0.6'
)

for ((a = 0; a < ${#troubles[@]}; a++)); do
  for ((b = a; b < ${#troubles[@]}; b++)); do
    cat >"$days/pair-$a-$b.toml" <<DAY
name = "pair-$a-$b"
slot = "trouble"
seed = $((7000 + 100 * a + b))
faults = [
  { at = 10.0, for_s = 6.0, ${troubles[$a]} },
  { at = 12.0, for_s = 6.0, ${troubles[$b]} },
]
DAY
  done
done

play() {
  "$1" run "$2" "$3" --why "pairs of troubles" 2>&1 | awk -v day="$(basename "$3" .toml)" '
    index($0, day) == 1 && /BROKEN|exits/ { print }
    /fleetbench:/ { print day ": " $0 }
    /^[A-Z]+ at / { print "    " $0 }'
}
export -f play
ls "$days"/*.toml | xargs -P "$jobs" -I{} bash -c 'play "$0" "$1" {}' "$bench" "$site"
echo "$(ls "$days" | wc -l) pairs run"
