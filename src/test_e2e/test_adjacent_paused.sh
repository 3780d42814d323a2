#!/usr/bin/env bash
# The adjacent node is paused with SIGSTOP while bookings are in progress and
# resumes after their deadline. Guards against requests that are executed after
# their caller was answered, a second execution, and wrong verdicts.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=6000
fleet_start 3 3 || exit 1
fleet_hold 0 1 2
for i in 1 2 3 4 5 6 7 8 9; do
	fleet_call_background 0 POST /orders "early-$i" -d x=1
done
fleet_wait_for "early bookings are in progress" fleet_executed_at_least 9
running=$(fleet_executed_ids 1)
kill -STOP "${fleet_pid[host1]}"
fleet_release 0 1 2
for i in 1 2 3 4 5 6 7 8 9; do
	fleet_call_background 0 POST /orders "late-$i" -d x=1
done
fleet_wait_calls
for id in $running; do
	expect "$id, interrupted" may-have-run "$(fleet_answer "$id" | cut -d' ' -f2)"
done
before=$(fleet_execution_log 1)
kill -CONT "${fleet_pid[host1]}"
fleet_wait_for "host1 resumes" fleet_is_idle 1
# After a pause that outlasted its leases the node refuses requests with the
# verdict "not-run".
fleet_wait_ready 1 || exit 1
fleet_wait_admitted 1 || exit 1
# Requests that waited in the sockets of host1 are handled before these.
for h in 0 1 2; do
	for i in 1 2 3 4 5 6; do
		expect "lookup-$h-$i" "200 ran" \
			"$(fleet_call $h GET /profiles/7 "lookup-$h-$i")"
	done
done
for i in 1 2 3 4 5 6 7 8 9; do
	for id in early-$i late-$i; do
		expect "$id has a correct verdict" yes "$(fleet_check_verdict $id)"
		grep -q "\"$id\":1" <<<"$before" ||
			expect "$id did not run late on order1" 0 \
				"$(fleet_execution_log 1 | grep -c "\"$id\"")"
	done
done
fleet_finish
