#!/usr/bin/env bash
# The configuration service is down, stale, silent, or answers garbage or
# invalid signatures, while nodes read it. Guards against a return to an older
# version, a version accepted without a valid signature, a fault without a
# reason in the log, a withdrawn key that is still accepted, a version delayed
# by connections that no longer answer, and open routes served by a node that
# hears neither the service nor a quorum.
build=$1
fleet_service=1
. src/test_e2e/fleet.sh

# restart_service [flags]: starts another replica at the same address.
restart_service() {
	[ -z "${fleet_pid[service]:-}" ] || fleet_kill service KILL
	fleet_start_service "$@"
}
# Restarts the service without faults and waits until all nodes have read it, so
# that their series of failed reads has ended.
wait_for_recovery() {
	local h
	restart_service
	for h in 0 1 2; do
		fleet_wait_for "host$h reads the service" \
			fleet_config_reads_reach $h $(($(fleet_config_reads $h) + 3))
	done
}
status_of() { # host number
	curl -s "http://$fleet_address:$(fleet_admin_port "$1")/status"
}
# Records the current length of each log for logged_since_mark.
mark_logs() {
	local h
	for h in 0 1 2; do
		log_marks[h]=$(wc -l <"$fleet_dir/host$h.log")
	done
}
logged_since_mark() { # host number, pattern
	tail -n +$((log_marks[$1] + 1)) "$fleet_dir/host$1.log" | grep -q "$2"
}
wait_for_reason() { # what, pattern
	local h
	for h in 0 1 2; do
		fleet_wait_for "host$h logs $1" logged_since_mark $h "$2"
	done
}
expect_version() { # version, when
	local h
	for h in 0 1 2; do
		expect "version of host$h $2" "$1" "$(fleet_status $h config_version)"
		expect "lookup at host$h $2" "200 ran" \
			"$(fleet_call $h GET /profiles/7 lookup)"
		expect "withdrawn key at host$h $2" "401 not-run" \
			"$(fleet_key=key-two fleet_call $h GET /profiles/7 withdrawn)"
	done
}
status_field_is() { # host number, field, true or false
	status_of "$1" | grep -q "\"$2\":$3"
}
answer_is() { # host number, answer
	[ "$(fleet_call "$1" GET /profiles/7 alone)" = "$2" ]
}

fleet_start_service_relays 0 1 2
fleet_start 3 3 || exit 1
fleet_hash_two=
fleet_publish 2

mark_logs
fleet_kill service KILL
wait_for_reason "that the service is down" "service failed: "
expect_version 2 "while the service is down"
wait_for_recovery
mark_logs
fleet_kill service KILL
fleet_serve_version 1
for h in 0 1 2; do
	before[h]=$(fleet_config_reads $h)
done
restart_service
for h in 0 1 2; do
	fleet_wait_for "host$h reads the stale replica" \
		fleet_config_reads_reach $h $((before[h] + 3))
done
wait_for_reason "that the replica is stale" "version 1 is older"
expect_version 2 "with a stale replica"
fleet_serve_version 2
wait_for_recovery

mark_logs
restart_service --fault garbage
wait_for_reason "garbage" "service failed: .*page"
expect_version 2 "with garbage"
wait_for_recovery

fleet_kill service KILL
mark_logs
# The weight changes, so that the nodes have to read a page besides the index.
fleet_weight=2
fleet_config 3
restart_service --fault bad-signature
wait_for_reason "an invalid signature" "signature does not match"
expect_version 2 "with invalid signatures"
restart_service
for h in 0 1 2; do
	fleet_wait_for "host$h has version 3" fleet_has_version $h 3
done

# Open connections carry no more bytes, new connections work.
for h in 0 1 2; do
	fleet_wait_for "host$h watches the service" \
		fleet_config_reads_reach $h $(($(fleet_config_reads $h) + 4))
done
for h in 0 1 2; do
	fleet_relay_command service$h hang
done
start=$(date +%s%N)
fleet_publish 4
echo "version 4 after $((($(date +%s%N) - start) / 1000000)) ms, watches silent"
expect_version 4 "after silent watches"

# Only host1 cannot reach the service.
fleet_relay_command service1 silent
fleet_hash_one=$(fleet_key_hash key-new)
start=$(date +%s%N)
fleet_publish 5
echo "version 5 after $((($(date +%s%N) - start) / 1000000)) ms, by a peer"
for h in 0 1 2; do
	expect "the second withdrawn key at host$h" "401 not-run" \
		"$(fleet_call $h GET /profiles/7 withdrawn)"
done
fleet_key=key-new
expect_version 5 "without the service at host1"

# host1 hears neither the service nor a quorum.
kill -STOP "${fleet_pid[host0]}" "${fleet_pid[host2]}"
fleet_wait_for "host1 is not current" status_field_is 1 current false
expect "host1 refuses open routes" "503 not-run" \
	"$(fleet_call 1 GET /profiles/7 alone)"
expect "the refusal gives the reason not-current" 1 "$(grep -c not-current "$fleet_dir/body")"
# The service alone makes the configuration of host1 current, also with watches
# that stay open for 30 s.
restart_service --watch 30000
fleet_relay_command service1 pass
fleet_relay_command service1 close
fleet_wait_for "host1 is current by the service" status_field_is 1 current true
expect "host1 hears no quorum" 0 "$(status_field_is 1 quorum false; echo $?)"
expect "host1 executed nothing without a current configuration" 0 "$(fleet_executions alone)"
kill -CONT "${fleet_pid[host0]}" "${fleet_pid[host2]}"
for h in 0 1 2; do
	fleet_wait_for "host$h serves requests again" answer_is $h "200 ran"
done
expect "no withdrawn key ran" 0 "$(fleet_executions withdrawn)"
fleet_finish
