#!/usr/bin/env bash
# A node restarts while the configuration service serves an older version than
# the fleet has accepted. Guards against a node that puts the older version in
# force, with a key that was withdrawn since, before it has heard from its
# peers.
build=$1
fleet_service=1
. src/test_e2e/fleet.sh

withdrawn_key() { # host number
	fleet_key=key-two fleet_call "$1" GET /profiles/7 withdrawn
}
ready_code() { # host number
	curl -s -o /dev/null -w '%{http_code}' \
		"http://$fleet_address:$(fleet_admin_port "$1")/readyz"
}
count_in_force() { # host number, version
	grep -c "version $2 is in force" "$fleet_dir/host$1.log"
}

fleet_start 3 3 || exit 1
fleet_hash_two=
fleet_publish 2
expect "the withdrawn key is refused" "401 not-run" "$(withdrawn_key 2)"
fleet_serve_version 1

# The peers of host1 run.
fleet_kill host1 TERM
mv "$fleet_dir/host1.log" "$fleet_dir/host1.before"
fleet_start_node 1
fleet_wait_ready 1 || exit 1
expect "version of host1" 2 "$(fleet_status 1 config_version)"
expect "times that host1 put version 1 in force" 0 "$(count_in_force 1 1)"
expect "the withdrawn key at host1" "401 not-run" "$(withdrawn_key 1)"

# The peers of host2 are paused.
fleet_kill host2 TERM
mv "$fleet_dir/host2.log" "$fleet_dir/host2.before"
kill -STOP "${fleet_pid[host0]}" "${fleet_pid[host1]}"
fleet_start_node 2
fleet_wait_for "host2 has read version 1" \
	grep -q 'version 1' "$fleet_dir/host2.log"
# Six more reads, by watches that end without a change: to host2 these show that
# version 1 is the current version of the service.
fleet_wait_for "host2 watches the service" fleet_config_reads_reach 2 $(($(fleet_config_reads 2) + 6))
expect "host2 without its peers is not ready" 503 "$(ready_code 2)"
expect "version in force at host2 without its peers" 0 \
	"$(fleet_status 2 config_version)"
expect "host2 without its peers serves no caller" 000 \
	"$(withdrawn_key 2 | tr -d ' ')"
kill -CONT "${fleet_pid[host0]}" "${fleet_pid[host1]}"
fleet_wait_ready 2 || exit 1
expect "version of host2" 2 "$(fleet_status 2 config_version)"
expect "times that host2 put version 1 in force" 0 "$(count_in_force 2 1)"
expect "the withdrawn key at host2" "401 not-run" "$(withdrawn_key 2)"
fleet_finish
