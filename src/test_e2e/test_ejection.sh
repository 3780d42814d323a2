#!/usr/bin/env bash
# Backend servers fail or become slow while they still answer (gray failure),
# and recover. Guards against a backend server that is not ejected, one that is
# not readmitted, and more ejections than the floor of the service allows.
build=$1
. src/test_e2e/fleet.sh

state_of() { # backend: state at its adjacent node
	curl -s "http://$fleet_address:$(fleet_admin_port $(($1 % fleet_nodes)))/status" |
		sed -n "s/.*\"name\": *\"order$1\", *\"state\": *\"\([a-z ]*\)\".*/\1/p"
}

# wait_for_state BACKEND PATTERN: sends lookups until the state is reached.
wait_for_state() {
	local i h calls end=$((SECONDS + 120))
	for ((i = 0; SECONDS < end; i++)); do
		state_of "$1" | grep -qE "$2" && return 0
		calls=()
		for h in 0 1 2 3 4 5; do
			mkdir -p "$fleet_dir/steady$h"
			fleet_out_dir="$fleet_dir/steady$h" fleet_call $((h % 3)) \
				GET "/profiles/$i" steady >/dev/null &
			calls+=($!)
		done
		wait "${calls[@]}"
		sleep 0.05
	done
	echo "order$1 is $(state_of "$1")" >&2
	return 1
}

fleet_start 3 6 || exit 1
expect "order2 is ok at first" ok "$(state_of 2)"
fleet_set_mode 2 "status=500&percent=100"
wait_for_state 2 ejected
expect "the failing backend server is ejected" 0 $?
expect "lookups succeed meanwhile" "200 ran" \
	"$(fleet_call 0 GET /profiles/1 meanwhile)"
fleet_set_mode 2 "status=0"
wait_for_state 2 '^(ok|ramping)$'
expect "it is readmitted after it recovered" 0 $?

# Slow, but without an error: only the comparison with the other backend servers
# shows the fault.
fleet_set_mode 4 "delay_ms=300&percent=100"
wait_for_state 4 ejected
expect "the slow backend server is ejected" 0 $?
fleet_set_mode 4 "status=0"
wait_for_state 4 '^(ok|ramping)$'
expect "it is readmitted after it recovered" 0 $?

# Four of six fail; the floor allows two ejections.
for b in 0 1 2 3; do
	fleet_set_mode $b "status=500&percent=100"
done
# The states are read one after the other, so one backend server may be
# readmitted and another ejected between two reads. Those found ejected in two
# consecutive rounds were ejected at the same time, since an ejection lasts for
# seconds.
before="" out=0
for i in $(seq 150); do
	fleet_call $((i % 3)) GET "/profiles/$i" floor >/dev/null
	now="" out=0
	for b in 0 1 2 3 4 5; do
		state_of $b | grep -qE 'ejected|trial' || continue
		now+=" $b"
		[[ $before == *$b* ]] && out=$((out + 1))
	done
	[ $out -gt 2 ] && break
	before=$now
done
expect "the floor of 60% holds" yes "$([ $out -le 2 ] && echo yes)"
fleet_finish
