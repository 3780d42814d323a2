#!/usr/bin/env bash
# The entry node is killed while its bookings are in progress. Guards against a
# booking that is executed twice or abandoned by the other nodes, and against
# slots that stay in use for the killed entry node.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=15000
fleet_start 3 3 || exit 1
fleet_hold 0 1 2
fleet_start_bookings
fleet_kill host0 KILL
fleet_wait_calls
fleet_release 0 1 2
for i in 1 2 3 4 5 6 7 8 9; do
	expect "book-$i gets no answer" 000 "$(fleet_answer "book-$i" | tr -d ' ')"
	expect "book-$i ran once" 1 "$(fleet_executions "book-$i")"
done
for h in 1 2; do
	fleet_wait_for "host$h has free slots" fleet_is_idle $h
done
fleet_start_node 0
fleet_wait_ready 0 || exit 1
# Rates are lent again only when the leases of the killed holder have expired.
fleet_wait_admitted 0 || exit 1
for h in 0 1 2; do
	expect "lookup at host$h" "200 ran" \
		"$(fleet_call $h GET /profiles/7 "lookup-$h")"
done
for i in 1 2 3 4 5 6 7 8 9; do
	expect "book-$i still ran once" 1 "$(fleet_executions "book-$i")"
done
fleet_finish
