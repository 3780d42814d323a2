#!/usr/bin/env bash
# baobabctl reads the status of the nodes of a fleet. Guards against exit code 0
# although a node does not answer, or automation is on but expected to be off,
# and against refused requests that cannot be explained.
build=$1
. src/test_e2e/fleet.sh

ctl() { # arguments: prints the exit code, writes the output to a file
	"$build/baobabctl" "$@" >"$fleet_dir/out" 2>&1
	echo $?
}

fleet_start 2 2 || exit 1
export BAOBABWARD_NODES="$fleet_address:$(fleet_admin_port 0), $fleet_address:$(fleet_admin_port 1)"
expect "status of a fleet without problems" 0 "$(ctl status)"
expect "a line for each node" 2 "$(grep -c ', version 1, automation on' "$fleet_dir/out")"
expect "automation that is on is a problem if off is expected" 1 "$(ctl status --expect-automation-off)"
expect "JSON of a fleet without problems" 0 "$(ctl status --json)"
expect "JSON has both hosts" 2 "$(grep -c '"host": "host' "$fleet_dir/out")"
expect "no problem in JSON" 1 "$(grep -c '"problems": \[\]' "$fleet_dir/out")"

expect "refused request" "405 not-run" "$(fleet_call 1 DELETE /orders none)"
id=$(tr -d '\r' <"$fleet_dir/headers" | sed -n 's/^Baobabward-Request-Id: //p')
expect "explain the refused request" 0 "$(ctl explain request "$id")"
expect "reason is shown" 1 "$(grep -c 'reason.*"method-not-allowed"' "$fleet_dir/out")"
expect "other node does not know it" 1 "$(grep -c ': not known' "$fleet_dir/out")"
expect "unknown request" 1 "$(ctl explain request 0-0)"
expect "explain account" 0 "$(ctl explain account mill)"
expect "no key or hash is shown" 0 "$(grep -c "$fleet_hash_one" "$fleet_dir/out")"
expect "explain backend server" 0 "$(ctl explain backend order0 --json)"
expect "one node is adjacent" 1 "$(grep -c '"adjacent": true' "$fleet_dir/out")"
expect "name that needs escaping" 1 "$(ctl explain account 'a&request=b c%')"

fleet_automation=false fleet_config 2
automation_is_off() {
	[ "$(ctl status --expect-automation-off)" = 0 ]
}
fleet_wait_for "automation is off everywhere" automation_is_off
expect "automation is off everywhere" 0 "$(ctl status --expect-automation-off)"
kill -TERM "${fleet_pid[host1]}"
wait "${fleet_pid[host1]}"
unset "fleet_pid[host1]"
expect "a node does not answer" 1 "$(ctl status --expect-automation-off)"
expect "silent node is named" 1 "$(grep -c "^problem: $fleet_address:$(fleet_admin_port 1) did not answer" "$fleet_dir/out")"
expect "one node by flag" 0 "$(ctl status --node "$fleet_address:$(fleet_admin_port 0)")"
expect "host name is no address" 2 "$(ctl status --node localhost:80)"
expect "no node" 2 "$(BAOBABWARD_NODES='' ctl status)"
expect "unexpected argument" 2 "$(ctl status more)"
fleet_finish
