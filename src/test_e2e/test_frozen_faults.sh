#!/usr/bin/env bash
# Automation is turned off while an ejection is in force. Then nodes and backend
# servers fail, connections to a node work in one direction only, and new
# configurations are published. Guards against an ejection that ends while
# automation is off, and against any ejection, readmission or weight change that
# docs/operators/automation-off.md does not list.
build=$1
fleet_service=1
. src/test_e2e/fleet.sh

status_of() { # host number
	curl -s "http://$fleet_address:$(fleet_admin_port "$1")/status"
}
state_is() { # backend, state
	status_of $(($1 % 3)) | grep -q "\"name\":\"order$1\",\"state\":\"$2\""
}
action_is_withheld() { # backend, state
	send_lookups
	status_of $(($1 % 3)) |
		grep -q "\"name\":\"order$1\"[^}]*\"would\":{\"state\":\"$2\""
}
phase=before
send_lookups() {
	local i
	for i in 0 1 2 3 4 5; do
		fleet_call_background $((i % 3)) GET "/profiles/$i" "$phase$i"
	done
	fleet_wait_calls
}
is_ejected() {
	send_lookups
	state_is "$1" ejected
}
# Whether a quorum has agreed for so long that automation is off that ejections
# stay in force after their permits expire.
automation_off_is_agreed() { # host number
	send_lookups
	[ "$(fleet_status "$1" automation_agreed_ms)" -gt 20400 ]
}
count_state_changes() { # all changes of state except to and from suspect
	cat "$fleet_dir"/host?.log |
		grep -cE ' is (ejected|trial|ramping|backing-off)|was (ejected|trial|ramping|backing-off)|readmitted'
}
ctl_status() {
	"$build/baobabctl" status --expect-automation-off \
		--node "$fleet_address:$(fleet_admin_port 0)" \
		--node "$fleet_address:$(fleet_admin_port 1)" \
		--node "$fleet_address:$(fleet_admin_port 2)" >"$fleet_dir/ctl"
}
restart_node() { # host number
	fleet_kill "host$1" KILL
	fleet_start_node "$1"
	fleet_wait_ready "$1"
	expect "order1 is ejected after a restart of host$1" 0 \
		"$(state_is 1 ejected; echo $?)"
}

fleet_start_host1_relays
fleet_start 3 6 || exit 1
fleet_set_mode 1 "status=500&percent=100"
fleet_wait_for "the failing order1 is ejected" is_ejected 1
fleet_automation=false
fleet_publish 2
before=$(count_state_changes)
phase=frozen
fleet_set_mode 1 "status=0"
fleet_set_mode 4 "status=500&percent=100"
fleet_set_mode 3 "status=503&percent=100"
fleet_wait_for "the trial of order1 is withheld" action_is_withheld 1 trial
fleet_wait_for "the ejection of order4 is withheld" action_is_withheld 4 ejected
fleet_wait_for "nodes agree that automation is off" automation_off_is_agreed 1
fleet_set_mode 3 "status=0"

restart_node 0
restart_node 2
fleet_wait_for "the permit of order1 expires" \
	grep -q 'order1 stays in force without a permit' "$fleet_dir/host1.log"
fleet_kill order5 KILL
send_lookups
fleet_start_backend 5
fleet_hash_two=
fleet_publish 3
expect "order1 is ejected after a new version" 0 "$(state_is 1 ejected; echo $?)"
for h in 0 1 2; do
	expect "the withdrawn key is refused at host$h" "401 not-run" \
		"$(fleet_key=key-two fleet_call $h GET /profiles/7 withdrawn)"
done

fleet_host1_relays_command drop-backward
for v in 4 5; do
	fleet_burst=$((1000 + v))
	fleet_publish $v
	expect "order1 is ejected during the partition" 0 \
		"$(state_is 1 ejected; echo $?)"
done
fleet_host1_relays_command pass
send_lookups
expect "order1 executes no requests" 0 "$(fleet_executed_ids 1 | grep -c frozen)"
expect "no state changed" "$before" "$(count_state_changes)"
fleet_wait_for "status confirms that automation is off" ctl_status
expect "status shows the ejection" 1 "$(grep -c 'ejected order1 (' "$fleet_dir/ctl")"
expect "status shows the withheld trial" 1 \
	"$(grep -c 'would act on order1 (trial: ' "$fleet_dir/ctl")"
expect "status shows the withheld ejection" 1 \
	"$(grep -c 'would act on order4 (ejected: ' "$fleet_dir/ctl")"

fleet_automation=true
fleet_publish 6
fleet_wait_for "the trial of order1 begins" grep -q 'order1 is trial' \
	"$fleet_dir/host1.log"
expect "order1 is not readmitted without a trial" 0 \
	"$(grep -c 'order1 is ok, was ejected' "$fleet_dir/host1.log")"

# From here on fewer ejections are allowed, so that order1 may be readmitted.
fleet_automation=false
fleet_leaving_backend=0
fleet_publish 7
phase=leaving
send_lookups
expect "the leaving order0 executes no requests" 0 "$(fleet_executed_ids 0 | grep -c leaving)"
fleet_kill host2 TERM
expect "host2 stops without interruption" 0 $?
fleet_finish
