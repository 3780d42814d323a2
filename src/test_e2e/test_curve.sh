#!/usr/bin/env bash
# The connections between nodes are encrypted with CURVE. Guards against
# requests that work over unencrypted connections only, and against a node that
# joins the fleet with a key that the configuration does not list.
build=$1
fleet_curve=1
. src/test_e2e/fleet.sh

fleet_start 3 3 || exit 1
for h in 0 1 2; do
	for i in 1 2 3; do
		expect "lookup $i at host$h" "200 ran" \
			"$(fleet_call $h GET /profiles/7 "lookup-$h-$i")"
		expect "booking $i at host$h" "200 ran" \
			"$(fleet_call $h POST /orders "book-$h-$i" -d x=1)"
	done
done
for b in 0 1 2; do
	expect "order$b executed requests" yes "$([ "$(fleet_executed $b)" -gt 0 ] && echo yes)"
done
# A node starts with a key that the configuration does not list.
fleet_kill host2 TERM
rm "$fleet_dir/curve2" "$fleet_dir/curve2.public"
fleet_curve_public 2 >/dev/null
fleet_start_node 2
ready_code() {
	curl -s -o /dev/null -w '%{http_code}' \
		"http://$fleet_address:$(fleet_admin_port 2)/readyz"
}
node2_answers() {
	[ "$(ready_code)" != 000 ]
}
fleet_wait_for "the node with another key answers" node2_answers
# Time in which it would become ready if the other nodes accepted its key.
sleep 3
expect "a node with another key is not ready" 503 "$(ready_code)"
expect "the other nodes still serve requests" "200 ran" "$(fleet_call 0 GET /profiles/7 rest)"
fleet_finish
