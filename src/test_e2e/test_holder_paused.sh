#!/usr/bin/env bash
# A node that holds leases and idempotency records is paused under load for
# longer than their term, and resumes. Guards against a client account that gets
# its rate twice, from the resumed holder and from the node that took over;
# against a second execution of a booking whose record the resumed node still
# has; and against a client account whose requests wait for the paused node.
build=$1
fleet_rate=20
fleet_burst=20
# Longer than the time in which the test repeats its bookings: after the window
# a repeated key counts as new.
fleet_idempotency_window_ms=30000
. src/test_e2e/fleet.sh

flood() { # host number: sends lookups until the file is removed
	while [ -e "$fleet_dir/flooding" ]; do
		curl -s -o /dev/null -m 5 -H "Authorization: Bearer key-one" \
			-H "X-Test-Id: flood" \
			"http://$fleet_address:$(fleet_port "$1")/profiles/7"
	done
}
# book_at KEY HOST...: sends the same booking to each host, in the background.
book_at() {
	local key=$1 h
	shift
	for h in "$@"; do
		mkdir -p "$fleet_dir/$key-at-$h"
		(
			trap - EXIT
			fleet_key=key-two fleet_out_dir="$fleet_dir/$key-at-$h" \
				fleet_call "$h" POST /orders "$key" -d x=1 -m 5 \
				-H "Idempotency-Key: $key" \
				>"$fleet_dir/$key-at-$h/answer"
		) &
		fleet_call_pids+=($!)
	done
}
now_ms() {
	echo $(($(date +%s%N) / 1000000))
}
# Whether backend servers have executed at least this many lookups of flood.
flood_executions_reach() { # executions
	[ "$(fleet_executions flood)" -ge "$1" ]
}
holds_leases() { # host number
	[ "$(fleet_status "$1" groups_held)" -gt 0 ]
}
# Whether the holders of records accept new keys of all groups.
new_keys_accepted() {
	local i
	tries=$((tries + 1))
	for i in 1 2 3 4 5 6; do
		book_at "first-$tries-$i" 0
	done
	fleet_wait_calls
	for i in 1 2 3 4 5 6; do
		[ "$(fleet_answer "first-$tries-$i-at-0")" = "200 ran" ] ||
			return 1
	done
}
tries=0

fleet_start 3 3 || exit 1
fleet_wait_for "host1 holds leases" holds_leases 1
fleet_wait_for "keys are accepted" new_keys_accepted
touch "$fleet_dir/flooding"
start=$(now_ms)
before=$(fleet_executions flood)
floods=()
for h in 0 1 2 0 1 2; do
	flood $h &
	floods+=($!)
done
for i in 1 2 3 4 5 6; do
	book_at "early-$i" 0 1 2
done
fleet_wait_calls
fleet_wait_for "the account's requests run" \
	flood_executions_reach $(($(fleet_executions flood) + 20))
for i in 1 2 3 4 5 6; do
	book_at "paused-$i" 0 1 2
done
kill -STOP "${fleet_pid[host1]}"
# The lease term is 4 s; a longer pause has the same result.
ended=$((SECONDS + 6))
fleet_wait_for "the account's requests run without host1" \
	flood_executions_reach $(($(fleet_executions flood) + 40))
for i in 1 2 3 4 5 6; do
	book_at "paused-$i" 0 2
done
while [ $SECONDS -lt $ended ]; do
	sleep 0.2
done
kill -CONT "${fleet_pid[host1]}"
for i in 1 2 3 4 5 6; do
	book_at "early-$i" 0 1 2
	book_at "paused-$i" 0 1 2
done
fleet_wait_for "the account's requests run after the pause" \
	flood_executions_reach $(($(fleet_executions flood) + 40))
fleet_wait_calls
rm "$fleet_dir/flooding"
wait "${floods[@]}"
elapsed=$(($(now_ms) - start))
ran=$(($(fleet_executions flood) - before))
allowed=$((fleet_burst + fleet_rate * elapsed / 1000 + 1))
echo "$ran of at most $allowed in $elapsed ms"
expect "rate and burst hold over the pauses" yes \
	"$([ "$ran" -le $allowed ] && echo yes)"
for i in 1 2 3 4 5 6; do
	for key in early-$i paused-$i; do
		n=$(fleet_executions "$key")
		expect "$key runs at most once" yes \
			"$([ "$n" -le 1 ] && echo yes)"
	done
	expect "early-$i, sent before the pause, runs" 1 \
		"$(fleet_executions "early-$i")"
done
ran=0
for id in $(fleet_executed_ids 0) $(fleet_executed_ids 1) $(fleet_executed_ids 2); do
	[[ $id = early-* || $id = paused-* ]] && ran=$((ran + 1))
done
echo "$ran of 12 bookings ran"
fleet_finish
