#!/usr/bin/env bash
# A backend server is set to leaving while requests run. Guards against new
# requests for it, and against requests in progress that are interrupted.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=15000
fleet_start 3 3 || exit 1
fleet_hold 0 1 2
fleet_start_bookings
fleet_leaving_backend=1
fleet_publish 2
fleet_release 0 1 2
before=$(fleet_executed 1)
expect "order1 executed requests" yes "$([ "$before" -gt 0 ] && echo yes)"
for h in 0 1 2; do
	for i in 1 2 3 4 5 6 7 8; do
		expect "lookup $i at host$h" "200 ran" \
			"$(fleet_call $h GET /profiles/7 "lookup-$h-$i")"
	done
done
fleet_wait_calls
fleet_expect_bookings_ran
expect "order1 executed no new requests" "$before" "$(fleet_executed 1)"
unset fleet_leaving_backend
fleet_publish 3

order1_executes_again() {
	fleet_call 0 GET /profiles/7 again >/dev/null
	[ "$(fleet_executed 1)" -gt "$before" ]
}
fleet_wait_for "order1 executes requests when its state is in again" order1_executes_again
fleet_finish
