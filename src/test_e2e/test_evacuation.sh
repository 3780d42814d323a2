#!/usr/bin/env bash
# The zone of a host is evacuated while requests run. Guards against new requests
# for its backend server, also after its node restarted, against requests in
# progress that are interrupted, and against a node of the zone that no longer
# serves callers.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=15000
fleet_start 3 3 || exit 1
fleet_hold 0 1 2
fleet_start_bookings
fleet_evacuated_host=1
fleet_publish 2
fleet_release 0 1 2
fleet_wait_calls
fleet_expect_bookings_ran
before=$(fleet_executed 1)
expect "order1 executed requests" yes "$([ "$before" -gt 0 ] && echo yes)"

lookups() { # name
	local h i

	for h in 0 1 2; do
		for i in 1 2 3 4 5 6 7 8; do
			expect "lookup $i at host$h" "200 ran" \
				"$(fleet_call $h GET /profiles/7 "$1-$h-$i")"
		done
	done
}
lookups first
fleet_kill host1 KILL
fleet_start_node 1
fleet_wait_admitted 1
lookups restarted
expect "order1 executed no new requests" "$before" "$(fleet_executed 1)"
unset fleet_evacuated_host
fleet_publish 3

order1_executes_again() {
	fleet_call 0 GET /profiles/7 again >/dev/null
	[ "$(fleet_executed 1)" -gt "$before" ]
}
fleet_wait_for "order1 executes requests when its zone is in use again" order1_executes_again
fleet_finish
