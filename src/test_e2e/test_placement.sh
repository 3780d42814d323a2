#!/usr/bin/env bash
# Three nodes in three zones place requests by cost. Guards against a cost that is
# not learned or does not reach the adjacent nodes, against bytes between zones that
# are not counted, and against costs in use without the policy.
build=$1
. src/test_e2e/fleet.sh

metric() { # host number, name
	curl -s "http://$fleet_address:$(fleet_admin_port "$1")/metrics" |
		sed -n "s/^baobabward_$2 \([0-9]*\).*/\1/p"
}

# Prints how many executions had a known cost.
executions_with_cost() {
	cat "$fleet_dir"/host?.log | grep "event=executed" |
		grep -vc "cost_ms=0 "
}

calls() { # name
	local h i
	for h in 0 1 2; do
		for i in 1 2 3 4 5 6; do
			expect "lookup $1 $i at host$h" "200 ran" \
				"$(fleet_call $h GET /profiles/7 "lookup-$1-$h-$i")"
			expect "booking $1 $i at host$h" "200 ran" \
				"$(fleet_call $h POST /orders "book-$1-$h-$i" -d x=1)"
			expect "booking $1 $i at host$h ran once" 1 \
				"$(fleet_executions "book-$1-$h-$i")"
		done
	done
}

fleet_policies='"place_by_cost":0'
fleet_start 3 3 || exit 1
for i in 0 1 2; do
	fleet_set_mode "$i" delay_ms=20
done
calls off
expect "costs without the policy" 0 "$(executions_with_cost)"
fleet_policies='"place_by_cost":1'
fleet_publish 2
calls on
expect "costs with the policy" yes \
	"$([ "$(executions_with_cost)" -ge 20 ] && echo yes)"
# No backend server is taken, so that each node uses the one beside it, or has sent
# some of its requests away.
placed=0
for h in 0 1 2; do
	own=$(metric $h placed_own_zone_total)
	other=$(metric $h placed_other_zone_total)
	bytes=$(metric $h zone_bytes_total)
	placed=$((placed + own + other))
	expect "bytes between zones of host$h" "$([ "$other" -gt 0 ] && echo yes)" \
		"$([ "$bytes" -gt 0 ] && echo yes)"
done
expect "attempts are counted" yes "$([ "$placed" -ge 72 ] && echo yes)"
fleet_finish
