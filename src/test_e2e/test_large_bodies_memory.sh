#!/usr/bin/env bash
# Nodes of machines with 160 MB pass on bodies of 60 MB, one at a time and several
# at once through both nodes. Guards against copies of a body on its way, and against
# a node that takes a large body from a caller and another one from a node.
build=$1
. src/test_e2e/crowd.sh

fleet_max_body_bytes=67108864
large_bytes=60000000
large_callers=6
# One body, and the 40 MB that a node needs besides.
one_body_mb=$((large_bytes / 1048576 + 1 + 40))
crowd_memory_mb=160
fleet_flags="--body-memory-mb 48 --freshness-ms 10000"

expect_verdicts() { # name of the background calls without their number
	local i
	for ((i = 0; i < large_callers; i++)); do
		echo "$1-$i: $(fleet_answer "$1-$i")"
		expect "$1-$i: verdict" yes "$(fleet_check_verdict "$1-$i")"
	done
}

fleet_start 2 2 || exit 1
head -c "$large_bytes" /dev/zero >"$fleet_dir/large"
head -c 1024 /dev/zero >"$fleet_dir/booking"
for i in 1 2 3 4; do
	for h in 0 1; do
		expect "body $i at host$h" "200 ran" \
			"$(fleet_call $h POST /orders "one-$h-$i" \
				--data-binary "@$fleet_dir/large")"
	done
done
crowd_expect_bounds "one at a time" "$one_body_mb"

for ((i = 0; i < large_callers; i++)); do
	fleet_call_background $((i % 2)) POST /orders "crowd-$i" \
		-H "Expect:" --data-binary "@$fleet_dir/large"
done
expect "booking beside the crowd" "200 ran" \
	"$(fleet_call 0 POST /orders beside --data-binary "@$fleet_dir/booking")"
fleet_wait_calls
expect_verdicts crowd
crowd_expect_bounds "several at once" "$crowd_memory_mb"
for h in 0 1; do
	expect "body after the crowd at host$h" "200 ran" \
		"$(fleet_call $h POST /orders "after-$h" \
			--data-binary "@$fleet_dir/large")"
done
crowd_expect_bounds "after the crowd" "$crowd_memory_mb"

# A body from a caller and one from another node meet at the host of the backend
# server.
crowd_stop_fleet
fleet_start 2 1 || exit 1
fleet_hold 0
fleet_call_background 0 POST /orders own --data-binary "@$fleet_dir/large"
fleet_wait_for "the own body is at the backend server" fleet_executed_at_least 1
fleet_call_background 1 POST /orders other -H "Expect:" \
	--data-binary "@$fleet_dir/large"
# Either the node has refused the other body, or it runs, too.
large_is_decided() {
	[ -s "$fleet_dir/other/answer" ] || fleet_executed_at_least 2
}
fleet_wait_for "the other body is decided on" large_is_decided
fleet_release 0
fleet_wait_calls
expect "own body" "200 ran" "$(fleet_answer own)"
echo "other body: $(fleet_answer other)"
expect "other body: verdict" yes "$(fleet_check_verdict other)"
crowd_expect_bounds "own and other body" "$one_body_mb"
expect "the other body alone" "200 ran" \
	"$(fleet_call 1 POST /orders again --data-binary "@$fleet_dir/large")"

# Bodies from three nodes meet at the host of the one backend server, which has
# memory for one of them.
crowd_stop_fleet
fleet_start 4 1 || exit 1
for ((i = 0; i < large_callers; i++)); do
	fleet_call_background $((i % 3 + 1)) POST /orders "meet-$i" \
		-H "Expect:" --data-binary "@$fleet_dir/large"
done
fleet_wait_calls
expect_verdicts meet
crowd_expect_bounds "from three nodes" "$crowd_memory_mb"
expect "body from another node after them" "200 ran" \
	"$(fleet_call 1 POST /orders alone --data-binary "@$fleet_dir/large")"
fleet_finish
