#!/usr/bin/env bash
# Backend servers fail or are slow while automation is off. Guards against an
# ejection, and against a /status that does not list the withheld ejection.
build=$1
fleet_automation=false
. src/test_e2e/fleet.sh

fleet_start 3 6 || exit 1
nodes=""
for h in 0 1 2; do
	nodes="$nodes --node $fleet_address:$(fleet_admin_port $h)"
done
# shellcheck disable=SC2086
"$build/baobabctl" status --expect-automation-off $nodes >/dev/null
expect "status confirms that automation is off" 0 $?
fleet_set_mode 2 "status=500&percent=100"
fleet_set_mode 5 "delay_ms=300&percent=100"
withheld_ejection_listed() {
	local i
	for i in $(seq 10); do
		fleet_call $((i % 3)) GET "/profiles/$i" off >/dev/null
	done
	curl -s "http://$fleet_address:$(fleet_admin_port 2)/status" |
		grep -q '"name":"order2"[^}]*"would":{[^}]*"state":"ejected"'
}
fleet_wait_for "the status lists the withheld ejection" withheld_ejection_listed
for h in 0 1 2; do
	expect "nothing is ejected at host$h" 0 \
		"$(curl -s "http://$fleet_address:$(fleet_admin_port $h)/metrics" |
			sed -n 's/^baobabward_ejections_total //p')"
	expect "no state is ejected, trial or ramping at host$h" 0 \
		"$(curl -s "http://$fleet_address:$(fleet_admin_port $h)/status" |
			grep -cE '"name":"[a-z0-9]*","state":"(ejected|trial|ramping)"')"
done
fleet_set_mode 2 reset=0
before=$(fleet_executed 2)
for i in $(seq 30); do
	fleet_call $((i % 3)) GET "/profiles/$i" off >/dev/null
done
expect "the failing backend server still executes requests" yes \
	"$([ "$(fleet_executed 2)" -gt "$before" ] && echo yes)"
fleet_finish
