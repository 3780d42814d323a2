#!/usr/bin/env bash
# Runs a fleet of the size of one of the two deployments in docs/design.md: a
# node beside each backend server, and eight client accounts that use a quarter
# of their rates. Prints for each condition the success of the worst-served
# account among those that stay inside their rates, and how many of their
# requests were refused; then how long it took to eject a backend server that
# became slow, and how many others were ejected.
#
# usage: deployment.sh BUILD oberlechner|peach-state SECONDS
build=$1
seconds=$3
case "$2" in
oberlechner) services="orders:15 inspections:10" slots=5 connections=330 zones=4 ;;
peach-state) services="listings:25 ledger:5" slots=4 connections=400 zones=3 ;;
*)
	echo "usage: deployment.sh BUILD oberlechner|peach-state SECONDS" >&2
	exit 2
	;;
esac
# Time in ms that a backend server takes for a request.
service_ms=20
# Requests/s, and also the burst, of two large accounts and six others.
rates=(200 200 40 40 40 40 40 40)
port=${BB_BASE_PORT:-30000}
dir=$(mktemp -d)
declare -A pid

stop_all() {
	kill "${pid[@]}" 2>/dev/null
	wait "${pid[@]}" 2>/dev/null
	rm -rf "$dir"
}
trap stop_all EXIT

caller_port() { echo $((port + 4 * $1)); }
admin_port() { echo $((port + 4 * $1 + 1)); }
backend_port() { echo $((port + 200 + $1)); }

write_config() {
	local hosts="" backends="" accounts="" names="" routes="" n=0 s i
	for s in $services; do
		names+="{\"name\":\"${s%:*}\",\"floor_percent\":60},"
		routes+="{\"name\":\"${s%:*}\",\"path_prefix\":\"/${s%:*}\",
\"methods\":[\"GET\"],\"service\":\"${s%:*}\",\"idempotent\":true,
\"access\":\"open\",\"max_body_bytes\":65536,\"timeout_ms\":2000},
{\"name\":\"book-${s%:*}\",\"path_prefix\":\"/${s%:*}\",
\"methods\":[\"POST\"],\"service\":\"${s%:*}\",\"idempotent\":false,
\"access\":\"open\",\"max_body_bytes\":65536,\"timeout_ms\":2000},"
		for ((i = 0; i < ${s#*:}; i++, n++)); do
			hosts+="{\"name\":\"host$n\",\"region\":\"r1\",
\"zone\":\"z$((n % zones))\",\"address\":\"127.0.0.1\",
\"data_port\":$((port + 4 * n + 2)),\"control_port\":$((port + 4 * n + 3)),
\"curve_key\":\"\"},"
			backends+="{\"name\":\"${s%:*}-$i\",\"host\":\"host$n\",
\"service\":\"${s%:*}\",\"url\":\"http://127.0.0.1:$(backend_port $n)\",
\"weight\":1,\"slots\":$slots,\"max_connections\":$connections,\"state\":\"in\"},"
		done
	done
	nodes=$n
	for i in "${!rates[@]}"; do
		accounts+="{\"name\":\"account$i\",\"rate_per_s\":${rates[$i]},
\"burst\":${rates[$i]},\"weight\":1,
\"key_hashes\":[\"$(printf "key%s" "$i" | b2sum -l 256 | cut -d" " -f1)\"]},"
	done
	cat >"$dir/config.json" <<JSON
{"version":1,"automation":true,"idempotency_window_ms":60000,
"hosts":[${hosts%,}],"services":[${names%,}],"backends":[${backends%,}],
"routes":[${routes%,}],"accounts":[${accounts%,}]}
JSON
}

start_node() {
	"$build/baobabd" --host "host$1" --port "$(caller_port "$1")" \
		--admin-port "$(admin_port "$1")" \
		--config-file "$dir/config.json" 2>>"$dir/host$1.log" &
	pid[host$1]=$!
}

set_delay() { # backend server, ms
	curl -s -o /dev/null -X POST \
		"http://127.0.0.1:$(backend_port "$1")/standin/mode?delay_ms=$2"
}

start_fleet() {
	local i
	for ((i = 0; i < nodes; i++)); do
		"$build/backend_standin" "backend$i" "$(backend_port $i)" \
			>/dev/null &
		pid[backend$i]=$!
		start_node "$i"
	done
	for ((i = 0; i < nodes; i++)); do
		until curl -sf -m 20 -o /dev/null \
			"http://127.0.0.1:$(admin_port $i)/readyz"; do
			sleep 0.1
		done
		until set_delay "$i" $service_ms; do
			sleep 0.1
		done
	done
	# Lenders wait until leases that an earlier fleet may have granted have
	# expired.
	sleep 25
}

# run_load CONDITION [ACCOUNT]: all accounts send at a quarter of their rates,
# the named one at five times its rate. Callers of an account use three nodes.
run_load() {
	local i s rate k senders=()
	for i in "${!rates[@]}"; do
		for s in $services; do
			rate=$((rates[i] / 8))
			[ "${2:-}" = "$i" ] && rate=$((rates[i] * 5 / 2))
			"$build/load_generator" --rate "$rate" \
				--duration "$seconds" --bookings 20 --each \
				--key "key$i" --id-prefix "$1-$i-${s%:*}" \
				--lookup-path "/${s%:*}/7" \
				--booking-path "/${s%:*}" \
				$(for k in 0 1 2; do
					echo "--url http://127.0.0.1:$(caller_port \
						$(((3 * i + k) % nodes)))"
				done) >"$dir/$1-$i-${s%:*}" &
			senders+=($!)
		done
	done
	wait "${senders[@]}"
}

# print_row CONDITION [ACCOUNT]: prints the row of a condition; the named
# account does not count.
print_row() {
	local i
	for i in "${!rates[@]}"; do
		[ "${2:-}" = "$i" ] && continue
		cat "$dir/$1-$i-"* | grep "^$1-" | sort -n -k4 | awk -v a="$i" '
			{ us[NR] = $4 } $2 == 200 { ok++ } $2 == 429 { refused++ }
			$3 == "may-have-run" { unknown++ }
			END { printf "%.3f %d %d %d %d %d\n", 100 * ok / NR,
			      us[int(NR * 0.99)], NR, refused, unknown, a }'
	done | awk -v condition="$1" '
		NR == 1 || $1 < worst { worst = $1; account = $6 }
		$2 > p99 { p99 = $2 }
		{ n += $3; refused += $4; unknown += $5 }
		END { printf "| %s | %d | %.2f%% | %.1f | %d | %d |\n", condition,
		      n, worst, p99 / 1000, refused, unknown }'
}

ejections() {
	local i
	for ((i = 0; i < nodes; i++)); do
		curl -s "http://127.0.0.1:$(admin_port $i)/metrics" |
			sed -n 's/^baobabward_ejections_total //p'
	done | awk '{ sum += $1 } END { print sum }'
}

write_config
start_fleet
run_load warm-up
before=$(ejections)
echo "$2: $nodes nodes and backend servers, $seconds s for each condition"
echo
echo "| condition | requests inside the rates | success of the worst-served" \
	"account | greatest p99 of an account, ms | refused with 429 |" \
	"may have run |"
echo "| --- | --- | --- | --- | --- | --- |"
run_load steady
print_row steady
run_load one-account-at-five-times 7
print_row one-account-at-five-times 7
run_load node-restarts &
load_pid=$!
sleep $((seconds / 4))
kill -TERM "${pid[host1]}"
wait "${pid[host1]}"
start_node 1
wait $load_pid
print_row node-restarts
run_load node-killed &
load_pid=$!
sleep $((seconds / 4))
kill -KILL "${pid[host1]}"
wait "${pid[host1]}" 2>/dev/null
sleep 2
start_node 1
wait $load_pid
print_row node-killed
false_ejections=$(($(ejections) - before))
run_load slow-backend &
load_pid=$!
sleep 2
start=$(date +%s%N)
set_delay 3 $((5 * service_ms))
detected="not within $seconds s"
while kill -0 $load_pid 2>/dev/null; do
	if curl -s "http://127.0.0.1:$(admin_port 3)/metrics" |
		grep -q '^baobabward_ejections_total [1-9]'; then
		detected="$((($(date +%s%N) - start) / 1000000)) ms"
		break
	fi
	sleep 0.05
done
wait $load_pid
print_row slow-backend
echo
echo "A backend server five times slower was ejected after: $detected"
echo "Other ejections: $false_ejections"
