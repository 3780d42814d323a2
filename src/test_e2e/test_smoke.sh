#!/usr/bin/env bash
# Three nodes serve requests through each other. Guards against a broken path
# from caller to backend server, a client's key that is passed on to a backend
# server, and refusals with a wrong status or verdict.
build=$1
. src/test_e2e/fleet.sh

fleet_start 3 3 || exit 1
for h in 0 1 2; do
	for i in 1 2 3 4 5; do
		expect "lookup $i at host$h" "200 ran" \
			"$(fleet_call $h GET /profiles/7 "lookup-$h-$i")"
		expect "booking $i at host$h" "200 ran" \
			"$(fleet_call $h POST /orders "book-$h-$i" -d x=1)"
		expect "booking $i at host$h ran once" 1 \
			"$(fleet_executions "book-$h-$i")"
	done
done
for b in 0 1 2; do
	total=$(fleet_execution_log $b | sed 's/.*"total":\([0-9]*\).*/\1/')
	expect "order$b executed requests" yes "$([ "$total" -gt 0 ] && echo yes)"
	expect "order$b saw no key" 1 \
		"$(fleet_execution_log $b | grep -c '"saw_authorization":false')"
done
expect "wrong key" "401 not-run" \
	"$(fleet_key=wrong fleet_call 0 GET /profiles/7 none)"
expect "no route" "404 not-run" "$(fleet_call 0 GET /nothing none)"
expect "wrong method" "405 not-run" "$(fleet_call 0 DELETE /orders none)"
expect "body too large" "413 not-run" \
	"$(head -c 70000 /dev/zero | fleet_call 0 POST /orders big --data-binary @-)"
expect "key in the path" "400 not-run" \
	"$(fleet_call 0 GET /profiles/key-one none)"
expect "key in the traceparent" "400 not-run" \
	"$(fleet_call 0 GET /profiles/7 none -H 'traceparent: key-one')"
expect "no refused request ran" 0 "$(fleet_executions none)"
fleet_finish
