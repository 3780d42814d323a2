#!/usr/bin/env bash
# The platform's host list sets a host to leaving while requests run and
# automation is off. Guards against new requests for its backend server from any
# entry node, against requests in progress that are interrupted, and against a
# host that gets no requests because the list says that it is dead or a replica
# has an older list.
build=$1
. src/test_e2e/fleet.sh

fleet_timeout_ms=10000
fleet_automation=false
service_port=$((fleet_base_port + 90))
pages="$fleet_dir/pages"
stale="$fleet_dir/stale"
mkdir "$pages" "$stale"

# write_hosts DIRECTORY SEQUENCE STATE...: writes a host list with the states of
# host0, host1, ...
write_hosts() {
	local directory=$1 sequence=$2 rows="" i=0 state
	shift 2
	for state in "$@"; do
		rows+="{\"name\":\"host$i\",\"state\":\"$state\"},"
		i=$((i + 1))
	done
	echo "{\"sequence\":$sequence,\"hosts\":[${rows%,}]}" >"$directory/hosts.tmp"
	mv "$directory/hosts.tmp" "$directory/hosts.json"
}

has_sequence() { # host number, sequence
	[ "$(fleet_status "$1" sequence)" = "$2" ]
}

# publish_hosts SEQUENCE STATE...: writes a host list and waits until all
# nodes have it.
publish_hosts() {
	local h
	write_hosts "$pages" "$@"
	for h in 0 1 2; do
		fleet_wait_for "host$h has list $1" has_sequence $h "$1"
	done
}

expect_lookups() { # label
	local h i
	for h in 0 1 2; do
		for i in 1 2 3 4 5 6 7 8; do
			expect "$1: lookup $i at host$h" "200 ran" \
				"$(fleet_call $h GET /profiles/7 "$1-$h-$i")"
		done
	done
}

public=$("$build/baobabctl" signing-key new "$fleet_dir/signing-key")
fleet_nodes=3
fleet_backends=3
fleet_hash_one=$(fleet_key_hash key-one)
fleet_hash_two=$(fleet_key_hash key-two)
fleet_config 1
"$build/baobabctl" publish "$fleet_dir/config.json" -d "$pages" \
	-k "$fleet_dir/signing-key" || exit 1
cp "$pages"/* "$stale"
write_hosts "$pages" 1 live live live
write_hosts "$stale" 1 live live live
"$build/config_service_standin" --directory "$pages" \
	--stale-directory "$stale" --port $service_port --watch 1000 \
	>"$fleet_dir/service.log" &
fleet_pid[service]=$!
fleet_config_source_flags="--config-url http://127.0.0.1:$service_port --config-public-key $public"
fleet_start 3 3 || exit 1

# Half of the reads still return list 1, in which host1 is live.
for b in 0 1 2; do
	fleet_set_mode $b delay_ms=2000
done
fleet_start_bookings
publish_hosts 2 live leaving live
before=$(fleet_executed 1)
for b in 0 1 2; do
	fleet_set_mode $b delay_ms=0
done
expect "order1 executed requests" yes "$([ "$before" -gt 0 ] && echo yes)"
expect_lookups leaving
fleet_wait_calls
fleet_expect_bookings_ran
expect "order1 executed no new requests" "$before" "$(fleet_executed 1)"
expect "status shows the leaving host" yes \
	"$("$build/baobabctl" status --node 127.0.0.1:"$(fleet_admin_port 0)" |
		grep -q 'host list 2 .*leaving host1' && echo yes)"

# A restarted node may know only the older list at first. The adjacent node of
# order1 then refuses the request, which is sent to another backend server.
fleet_kill host2 TERM
fleet_start_node 2
fleet_wait_ready 2
fleet_wait_admitted 2
expect_lookups restarted
expect "order1 executed no new requests from the restarted node" "$before" \
	"$(fleet_executed 1)"

# A host that the list calls dead but that answers still gets requests.
publish_hosts 3 dead leaving live
before_dead=$(fleet_executed 0)
expect_lookups dead
expect "order0 still executes requests" yes \
	"$([ "$(fleet_executed 0)" -gt "$before_dead" ] && echo yes)"
expect "order1 still executes no requests" "$before" "$(fleet_executed 1)"

# Without the current list the state leaving stays in force, although the stale
# replica still serves the older list.
rm "$pages/hosts.json"
expect_lookups gone
expect "order1 executes no requests without a list" "$before" "$(fleet_executed 1)"

publish_hosts 4 live live live
order1_executes_again() {
	fleet_call 0 GET /profiles/7 again >/dev/null
	[ "$(fleet_executed 1)" -gt "$before" ]
}
fleet_wait_for "order1 executes requests when it is live again" order1_executes_again
fleet_finish
