#!/usr/bin/env bash
# Measures the cost of the control thread of nodes without requests: processor
# time, resident memory and bytes of control messages per node, for several
# fleet sizes on loopback.
#
# usage: control_cost.sh BUILD SECONDS NODES...
. src/bench/node_sample.sh
build=$1
seconds=$2
shift 2
ticks=$(getconf CLK_TCK)

measure() { # number of nodes
	(
		fleet_flags="--lease-term-ms 8000 --freshness-ms 10000"
		. src/test_e2e/fleet.sh
		fleet_backend_port() {
			echo $((fleet_base_port + 2000 + $1))
		}
		fleet_wait_admitted() {
			:
		}
		fleet_start "$1" "$1" >/dev/null || exit 1
		sleep 20
		sample_nodes >"$fleet_dir/before"
		sleep "$seconds"
		sample_nodes >"$fleet_dir/after"
		paste "$fleet_dir/before" "$fleet_dir/after" | awk -v n="$1" \
			-v s="$seconds" -v t="$ticks" '
			{ cpu += $6 - $1; in_b += $7 - $2; out_b += $8 - $3
			  if ($9 > rss) rss = $9 }
			END { printf "| %d | %.3f | %.0f | %.0f | %d |\n", n,
			      100 * cpu / t / s / n, in_b / s / n,
			      out_b / s / n, rss }'
	)
}

sample_nodes() { # prints a line per node
	local i
	for ((i = 0; i < fleet_nodes; i++)); do
		node_sample "${fleet_pid[host$i]}" "$(fleet_admin_port "$i")"
	done
}

echo "| nodes | % of a core | bytes/s in | bytes/s out | most resident KiB |"
echo "| --- | --- | --- | --- | --- |"
for nodes; do
	measure "$nodes"
done
