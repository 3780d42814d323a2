#!/usr/bin/env bash
# One backend server fails all requests while nodes report the state of theirs.
# Guards against entry nodes that send a request to a backend server although the
# node beside it has just told that its circuit breaker is open, against lookups
# that fail although other backend servers answer, and against a backend server
# that gets no requests after it has recovered.
build=$1
fleet_flags="--breaker 1 --ejections 0 --path-check-ms 20 --slot-searches 3"
fleet_policies='"report_bytes_per_s":1500'
. src/test_e2e/fleet.sh

# sum_metric NAME: sum of a metric over all nodes.
sum_metric() {
	local i
	for ((i = 0; i < fleet_nodes; i++)); do
		curl -s "http://$fleet_address:$(fleet_admin_port $i)/metrics"
	done | awk -v name="baobabward_$1" '$1 == name { n += $2 } END { print n + 0 }'
}

n=0
failed=0

# Sends a lookup to each entry node in turn.
send_lookups() {
	local i
	for ((i = 0; i < fleet_nodes; i++)); do
		n=$((n + 1))
		[ "$(fleet_call $i GET "/profiles/$n" "lookup-$n")" = "200 ran" ] ||
			failed=$((failed + 1))
	done
}

attempt_is_withheld() {
	send_lookups
	[ "$(sum_metric attempts_withheld_total)" -gt 0 ]
}

order1_executes() {
	send_lookups
	[ "$(fleet_executed 1)" -gt 0 ]
}

fleet_start 4 4 || exit 1
# Each node earns retries by its first attempts.
for i in 1 2 3 4 5 6 7 8 9 10; do
	send_lookups
done
expect "lookups that failed before" 0 "$failed"
fleet_set_mode 1 "status=500&reset=1"
fleet_wait_for "an attempt at order1 is withheld" attempt_is_withheld
expect "lookups that failed while order1 failed" 0 "$failed"
expect "changes of backend servers were told unasked" yes \
	"$([ "$(sum_metric backend_reports_sent_total)" -gt 0 ] && echo yes)"
expect "reports were used" yes \
	"$([ "$(sum_metric backend_reports_used_total)" -gt 0 ] && echo yes)"
fleet_set_mode 1 "reset=1"
fleet_wait_for "order1 executes requests after it has recovered" order1_executes
fleet_finish
