#!/usr/bin/env bash
# added_latency.sh BUILD [REPEATS [RATE [SECONDS [BOOKINGS_PERCENT]]]]
#
# Measures the latency that nodes add to a request. Each repeat sends requests
# directly to the backend server stand-in, then through its adjacent node, then
# through another entry node. Differences and ratios are taken within a repeat;
# their median and range are printed. Processor time is that of both daemons.
build=$1
. src/test_e2e/fleet.sh

repeats=${2:-5}
rate=${3:-300}
seconds=${4:-5}
bookings=${5:-0}

# measure URL: sends the load and prints "P50 P99" in microseconds.
measure() {
	"$build/load_generator" --url "$1" --key key-one --rate "$rate" \
		--duration "$seconds" --connections 16 --bookings "$bookings" \
		--id-prefix "r$RANDOM" --json >"$fleet_dir/run.json" ||
		echo "requests failed: $(cat "$fleet_dir/run.json")" >&2
	sed 's/.*"p50":\([0-9]*\),"p99":\([0-9]*\).*/\1 \2/' "$fleet_dir/run.json"
	grep -q "\"200 [a-z-]*\":$((rate * seconds))}" "$fleet_dir/run.json" ||
		echo "not all answers are 200: $(cat "$fleet_dir/run.json")" >&2
}

# ticks: prints the processor time of both daemons in clock ticks.
ticks() {
	local h sum=0 stat
	for h in 0 1; do
		read -r -a stat <"/proc/${fleet_pid[host$h]}/stat"
		sum=$((sum + stat[13] + stat[14]))
	done
	echo "$sum"
}

resident_kb() { # host number
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' \
		"/proc/${fleet_pid[host$1]}/status"
}

fleet_rate=100000
fleet_burst=100000
fleet_flags="--log-level warning"
fleet_start 2 1 || exit 1
direct_url="http://127.0.0.1:$(fleet_backend_port 0)"
same_node_url="http://127.0.0.1:$(fleet_port 0)"
other_node_url="http://127.0.0.1:$(fleet_port 1)"
measure "$direct_url" >/dev/null
measure "$same_node_url" >/dev/null
measure "$other_node_url" >/dev/null

idle=$(ticks)
sleep "$seconds"
idle=$(($(ticks) - idle))
same_node_ticks=0 other_node_ticks=0
for ((r = 0; r < repeats; r++)); do
	d=$(measure "$direct_url")
	before=$(ticks)
	s=$(measure "$same_node_url")
	middle=$(ticks)
	h=$(measure "$other_node_url")
	same_node_ticks=$((same_node_ticks + middle - before))
	other_node_ticks=$((other_node_ticks + $(ticks) - middle))
	echo "$d $s $h"
done >"$fleet_dir/results" 2>"$fleet_dir/problems"
cat "$fleet_dir/problems"

echo "$rate requests/s, $bookings% bookings, $seconds s, $repeats repeats;" \
	"microseconds, median (least to most)"
awk '
function show(name, v, n,    i, j, t) {
	for (i = 1; i <= n; i++)
		for (j = i + 1; j <= n; j++)
			if (v[j] < v[i]) { t = v[i]; v[i] = v[j]; v[j] = t }
	printf "%-34s %9.2f (%.2f to %.2f)\n", name, v[int((n + 1) / 2)], v[1], v[n]
}
{ for (i = 1; i <= 6; i++) x[i, NR] = $i }
END {
	split("direct p50,direct p99,same node p50,same node p99,one hop p50,one hop p99", names, ",")
	for (i = 1; i <= 6; i++) {
		for (n = 1; n <= NR; n++) v[n] = x[i, n]
		show(names[i], v, NR)
	}
	for (i = 3; i <= 6; i++) {
		for (n = 1; n <= NR; n++) v[n] = x[i, n] - x[2 - i % 2, n]
		show(names[i] " less direct", v, NR)
		for (n = 1; n <= NR; n++) v[n] = x[i, n] / x[2 - i % 2, n]
		show(names[i] " to direct, ratio", v, NR)
	}
}' "$fleet_dir/results"
awk -v s="$same_node_ticks" -v h="$other_node_ticks" -v i="$idle" -v hz="$(getconf CLK_TCK)" \
	-v n="$((rate * seconds * repeats))" -v r="$repeats" -v w="$seconds" 'BEGIN {
	printf "idle, both daemons: %.2f%% of a core\n", 100 * i / hz / w
	printf "processor time per request, less idle: same node %.0f us, one hop %.0f us\n",
		(s - r * i) / hz / n * 1e6, (h - r * i) / hz / n * 1e6
}'
echo "resident memory: adjacent $(resident_kb 0) KB, entry $(resident_kb 1) KB"
