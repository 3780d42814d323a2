#!/usr/bin/env bash
# Callers close their connections while their requests are in progress. Guards
# against slots that stay in use until the deadline of a cancelled request.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=120000
fleet_start 2 1 || exit 1
fleet_set_mode 0 delay_ms=120000
for i in 1 2; do
	fleet_call_background 0 POST /orders "local-$i" -d x=1 -m 10
	fleet_call_background 1 GET /profiles/7 "remote-$i" -m 10
done
fleet_wait_for "all slots are in use" fleet_executed_at_least 4
fleet_wait_calls
for h in 0 1; do
	fleet_wait_for "host$h is idle" fleet_is_idle $h
done
fleet_set_mode 0 delay_ms=0
for i in 1 2 3 4; do
	expect "booking $i" "200 ran" \
		"$(fleet_call 1 POST /orders "next-$i" -d x=1)"
done
# Threads of the stand-in still sleep for the delay of 120 s, so it would not
# end in time after SIGTERM.
fleet_kill order0 KILL
fleet_finish
