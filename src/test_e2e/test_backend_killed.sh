#!/usr/bin/env bash
# A backend server is killed while it executes bookings. Guards against the
# verdict "not-run" for a booking that had reached it, a retry of a booking that
# may have run, and lookups that fail although other backend servers are
# available.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=15000
fleet_start 3 3 || exit 1
fleet_hold 0 1 2
fleet_start_bookings
interrupted=$(fleet_executed_ids 1)
expect "bookings are in progress on order1" yes "$([ -n "$interrupted" ] && echo yes)"
fleet_kill order1 KILL
for i in 1 2 3; do
	fleet_call_background 0 GET /profiles/7 "lookup-$i"
done
fleet_release 0 2
fleet_wait_calls
for i in 1 2 3 4 5 6 7 8 9; do
	if grep -qx "book-$i" <<<"$interrupted"; then
		expect "book-$i, interrupted" "502 may-have-run" \
			"$(fleet_answer "book-$i")"
		expect "book-$i was not repeated" 0 "$(fleet_executions "book-$i")"
	else
		expect "book-$i" "200 ran" "$(fleet_answer "book-$i")"
		expect "book-$i ran once" 1 "$(fleet_executions "book-$i")"
	fi
done
for i in 1 2 3; do
	expect "lookup-$i" "200 ran" "$(fleet_answer "lookup-$i")"
done

# order1_executes_again: whether order1 executes requests after its restart.
order1_executes_again() {
	fleet_call 0 GET /profiles/7 again >/dev/null
	[ "$(fleet_executed 1)" -gt 0 ]
}
fleet_start_backend 1
fleet_wait_for "order1 executes requests after its restart" order1_executes_again
fleet_finish
