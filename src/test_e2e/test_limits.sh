#!/usr/bin/env bash
# Callers of a client account send more than its rate to all nodes. Guards
# against more admitted requests than rate and burst allow over all nodes
# together, also after a restart, and against refused requests that were
# executed.
build=$1
fleet_rate=20
fleet_burst=20
. src/test_e2e/fleet.sh

fleet_start 3 3 || exit 1

# flood SECONDS: six senders for each node, which send as fast as they can.
flood() {
	local end=$((SECONDS + $1)) h n
	flood_pids=""
	for h in 0 1 2; do
		for n in 1 2 3 4 5 6; do
			(
				i=0
				while [ $SECONDS -lt $end ]; do
					curl -s -o /dev/null -m 5 -w '%{http_code}\n' \
						-H "Authorization: Bearer key-one" \
						-H "X-Test-Id: flood" \
						"http://$fleet_address:$(fleet_port $h)/profiles/$i"
					i=$((i + 1))
				done >"$fleet_dir/flood$h$n"
			) &
			flood_pids="$flood_pids $!"
		done
	done
	# shellcheck disable=SC2086
	wait $flood_pids
}

start=$(date +%s%N)
flood 6
elapsed_ms=$((($(date +%s%N) - start) / 1000000))
admitted=$(cat "$fleet_dir"/flood* | grep -c '^200$')
refused=$(cat "$fleet_dir"/flood* | grep -c '^429$')
# The bound uses the elapsed time, so a slow machine cannot fail the check.
allowed=$((fleet_burst + fleet_rate * elapsed_ms / 1000 + 1))
echo "admitted $admitted of at most $allowed in $elapsed_ms ms, refused $refused"
expect "rate and burst hold" yes "$([ "$admitted" -le $allowed ] && echo yes)"
expect "something was admitted and refused" yes \
	"$([ "$admitted" -gt 20 ] && [ "$refused" -gt 0 ] && echo yes)"
expect "each admitted request ran once" "$admitted" "$(fleet_executions flood)"
expect "the other client account is not affected" "200 ran" \
	"$(fleet_key=key-two fleet_call 0 GET /profiles/1 other)"

start=$(date +%s%N)
before=$(fleet_executions flood)
kill -9 "${fleet_pid[host1]}"
wait "${fleet_pid[host1]}" 2>/dev/null
fleet_start_node 1
flood 8
elapsed_ms=$((($(date +%s%N) - start) / 1000000))
admitted=$(($(fleet_executions flood) - before))
allowed=$((fleet_burst + fleet_rate * elapsed_ms / 1000 + 1))
echo "after a restart: $admitted of at most $allowed in $elapsed_ms ms"
expect "rate and burst hold over a restart" yes \
	"$([ "$admitted" -le $allowed ] && echo yes)"
fleet_finish
