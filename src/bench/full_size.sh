#!/usr/bin/env bash
# Runs nodes with the routes and client accounts of the target size and 13
# backend servers for each host, read as pages from the configuration service.
# Prints for each node the time from its start until the version is complete,
# and resident memory, processor time and bytes of control messages over the
# given time. One process stands in for all backend servers and answers their
# probes. With fewer nodes than hosts the other hosts are down.
#
# usage: full_size.sh BUILD HOSTS NODES SECONDS
. src/bench/node_sample.sh
build=$1
hosts=$2
nodes=$3
seconds=$4
port=${BB_BASE_PORT:-30000}
ticks=$(getconf CLK_TCK)
dir=$(mktemp -d)
pids=()

stop_all() {
	kill "${pids[@]}" 2>/dev/null
	wait "${pids[@]}" 2>/dev/null
	rm -rf "$dir"
}
trap stop_all EXIT

sample_node() { # node
	node_sample "${pids[$(($1 + 2))]}" $((port + 1 + $1))
}

mkdir "$dir/pages"
public=$("$build/baobabctl" signing-key new "$dir/key")
"$build/bench_config" document "$hosts" $((port - 1)) \
	>"$dir/document"
"$build/baobabctl" publish -d "$dir/pages" -k "$dir/key" "$dir/document" ||
	exit 1
"$build/config_service_standin" --directory "$dir/pages" --port "$port" \
	>"$dir/service.log" 2>&1 &
pids+=($!)
"$build/backend_standin" all $((port - 1)) >"$dir/backend.log" 2>&1 &
pids+=($!)
declare -A started
for ((i = 0; i < nodes; i++)); do
	started[$i]=$(date +%s.%N)
	"$build/baobabd" --host "host-$i" --port 0 \
		--admin-port $((port + 1 + i)) \
		--config-url "http://127.0.0.1:$port" \
		--config-public-key "$public" 2>"$dir/host$i.log" &
	pids+=($!)
done
for ((i = 0; i < nodes; i++)); do
	until grep -q "is complete and valid" "$dir/host$i.log"; do
		kill -0 "${pids[$((i + 2))]}" || exit 1
		sleep 0.1
	done
done
# Lenders wait until leases that an earlier fleet may have granted have expired.
sleep 30
echo "| node | s until complete | % of a core | bytes/s in | bytes/s out |" \
	"resident KiB | peak KiB |"
echo "| --- | --- | --- | --- | --- | --- | --- |"
for ((i = 0; i < nodes; i++)); do
	sample_node "$i" >"$dir/before$i"
done
sleep "$seconds"
for ((i = 0; i < nodes; i++)); do
	in_force=$(date -d "$(sed -n 's/ .*is complete and valid.*//p' \
		"$dir/host$i.log" | head -n 1)" +%s.%N)
	echo "$i $in_force ${started[$i]} $(cat "$dir/before$i")" \
		"$(sample_node "$i")" | awk -v s="$seconds" -v t="$ticks" '{
		printf "| %d | %.1f | %.2f | %.0f | %.0f | %d | %d |\n", $1,
		       $2 - $3, 100 * ($9 - $4) / t / s, ($10 - $5) / s,
		       ($11 - $6) / s, $12, $13 }'
done
