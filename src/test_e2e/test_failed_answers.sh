#!/usr/bin/env bash
# One backend server answers with an error status. Guards against lookups that
# fail although another backend server would answer, and against a booking that
# is retried after an error.
build=$1
fleet_automation=false
. src/test_e2e/fleet.sh

fleet_start 3 3 || exit 1

# lookup_reaches_order1 STATUS: sends a lookup; whether order1 has executed one.
lookup_reaches_order1() {
	n=$((n + 1))
	expect "lookup $n while order1 answers $1" "200 ran" \
		"$(fleet_call $((n % 3)) GET "/profiles/$n" "lookup-$n")"
	[ "$(fleet_executed 1)" -gt 0 ]
}

booking_reaches_order1() {
	n=$((n + 1))
	answer=$(fleet_call $((n % 3)) POST /orders "booking-$n" -d x=1)
	[ "$(fleet_executed 1)" -gt 0 ]
}

n=0
for status in 500 502 503 504; do
	fleet_set_mode 1 "status=$status&reset=1"
	fleet_wait_for "order1 answers a lookup with $status" \
		lookup_reaches_order1 $status
done
fleet_set_mode 1 "status=500&reset=1"
fleet_wait_for "order1 answers a booking with 500" booking_reaches_order1
expect "the booking's answer is passed on" "500 ran" "$answer"
expect "the booking ran once" 1 "$(fleet_executions "booking-$n")"
for b in 0 2; do
	fleet_set_mode $b status=500
done
expect "the answer if all backend servers fail" "500 ran" \
	"$(fleet_call 0 GET /profiles/1 all-fail)"
fleet_finish
