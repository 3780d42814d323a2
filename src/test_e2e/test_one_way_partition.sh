#!/usr/bin/env bash
# Other nodes reach host1, but its answers to them are lost. Guards against the
# verdict "not-run" for a booking that ran, a second execution, and lookups that
# keep failing although the other hosts are reachable.
build=$1
. src/test_e2e/fleet.sh

fleet_start_host1_relays
fleet_timeout_ms=2000
fleet_start 3 3 || exit 1
order1_executes() {
	fleet_call 0 GET /profiles/1 before >/dev/null
	[ "$(fleet_executed 1)" -gt 0 ]
}
fleet_wait_for "order1 executes requests before the partition" order1_executes

fleet_host1_relays_command drop-backward
for i in $(seq 9); do
	fleet_call_background 0 POST /orders "cut-$i" -d x=1
done
fleet_wait_calls
for i in $(seq 9); do
	expect "booking $i during the partition has a correct verdict" yes \
		"$(fleet_check_verdict "cut-$i")"
done
lookups_succeed() {
	local i
	for i in 1 2 3 4 5 6; do
		[ "$(fleet_call 0 GET "/profiles/$i" during)" = "200 ran" ] ||
			return 1
	done
}
fleet_wait_for "lookups avoid the path to host1" lookups_succeed

fleet_host1_relays_command pass
before=$(fleet_executed 1)
order1_executes_again() {
	local i
	for i in 1 2 3 4 5 6; do
		fleet_call 0 GET "/profiles/$i" after >/dev/null
	done
	[ "$(fleet_executed 1)" -gt "$before" ]
}
fleet_wait_for "order1 executes requests after the partition" order1_executes_again
for i in $(seq 9); do
	expect "booking $i did not run again" yes \
		"$([ "$(fleet_executions "cut-$i")" -le 1 ] && echo yes)"
done
fleet_finish
