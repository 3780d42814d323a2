#!/usr/bin/env bash
# The adjacent node is killed while its backend server executes bookings. Guards
# against the verdict "not-run" for a booking that ran, a second execution, and
# lookups that fail although other backend servers are available.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=15000
fleet_start 3 3 || exit 1
fleet_hold 0 1 2
fleet_start_bookings
interrupted=$(fleet_executed_ids 1)
expect "bookings are in progress beside host1" yes "$([ -n "$interrupted" ] && echo yes)"
fleet_kill host1 KILL
for i in 1 2 3; do
	fleet_call_background 0 GET /profiles/7 "lookup-$i"
done
# Requests on order1 stay in progress, so the outcome of its bookings stays
# unknown.
fleet_release 0 2
fleet_wait_calls
for id in $interrupted; do
	expect "$id, interrupted" may-have-run "$(fleet_answer "$id" | cut -d' ' -f2)"
	expect "$id ran once" 1 "$(fleet_executions "$id")"
done
for i in 1 2 3 4 5 6 7 8 9; do
	expect "book-$i has a correct verdict" yes "$(fleet_check_verdict "book-$i")"
done
for i in 1 2 3; do
	expect "lookup-$i" "200 ran" "$(fleet_answer "lookup-$i")"
done
fleet_finish
