#!/usr/bin/env bash
# Backend servers close the connection in the middle of their responses.
# Guards against a truncated response that is passed on as complete.
build=$1
. src/test_e2e/fleet.sh

fleet_start 3 3 || exit 1
for b in 0 1 2; do
	fleet_set_mode $b truncate=1
done
for i in 1 2 3 4 5 6; do
	expect "lookup $i" "502 ran" \
		"$(fleet_call 0 GET /profiles/7 "lookup-$i")"
	expect "booking $i" "502 ran" \
		"$(fleet_call 0 POST /orders "book-$i" -d x=1)"
	expect "booking $i ran once" 1 "$(fleet_executions "book-$i")"
	expect "no part of the response is passed on" 0 \
		"$(grep -c xxxxxxxxxx "$fleet_dir/body")"
done
for b in 0 1 2; do
	fleet_set_mode $b truncate=0
done
expect "complete response" "200 ran" \
	"$(fleet_call 0 GET /profiles/7 lookup-complete)"
fleet_finish
