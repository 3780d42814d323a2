#!/usr/bin/env bash
# A node is killed while its backend server executes lookups. Guards against
# lookups that are retried elsewhere only after half of their time, here 150 s,
# although the connection to the killed node is lost immediately.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=300000
fleet_start 3 3 || exit 1
fleet_hold 0 1 2
for i in 1 2 3 4 5 6 7 8 9; do
	fleet_call_background 0 GET /profiles/7 "lookup-$i" -m 290
done
fleet_wait_for "all lookups are in progress" fleet_executed_at_least 9
interrupted=$(fleet_executed_ids 1 | wc -l)
expect "lookups are in progress beside host1" yes "$([ "$interrupted" -gt 0 ] && echo yes)"
fleet_kill host1 KILL
fleet_wait_for "the interrupted lookups are retried elsewhere" \
	fleet_executed_at_least $((9 + interrupted)) || fleet_finish
fleet_release 0 1 2
fleet_wait_calls
for i in 1 2 3 4 5 6 7 8 9; do
	expect "lookup-$i" "200 ran" "$(fleet_answer "lookup-$i")"
done
fleet_finish
