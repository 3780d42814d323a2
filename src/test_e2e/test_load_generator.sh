#!/usr/bin/env bash
# A backend server is killed while it executes a lookup that came on a reused
# connection. Guards against a load generator that takes the lookup for unsent
# and sends it again: libcurl repeats such a request by itself and then reports
# only that the connection was refused.
build=$1
. src/test_e2e/fleet.sh

fleet_backends=1
fleet_start_backend 0
fleet_wait_for "order0 answers" fleet_set_mode 0 reset=1
"$build/load_generator" --rate 20 --duration 3 --bookings 0 --padding 10 \
	--connections 1 --each \
	--url "http://127.0.0.1:$(fleet_backend_port 0)" >"$fleet_dir/load" &
load=$!
fleet_wait_for "requests are answered" fleet_executed_at_least 10
fleet_hold 0
request_is_held() {
	local held
	held=$(fleet_executed 0)
	sleep 0.3
	[ "$(fleet_executed 0)" = "$held" ]
}
fleet_wait_for "a request is held" request_is_held
fleet_kill order0 KILL 2>/dev/null
wait $load
held=$(tail -n 1 "$fleet_dir/order0.log")
expect "the request that was sent failed without an answer" 1 \
	"$(grep -c "^${held##* } failed: Server returned nothing" \
		"$fleet_dir/load")"
fleet_finish
