#!/usr/bin/env bash
# Runs a fleet of 5 nodes and 10 backend servers under load, injects faults
# that a seed chooses, ends them and checks every request with fault_judge.
#
# usage: fault_run.sh BUILD SEED SECONDS
#
# Environment: BB_BASE_PORT; FAULT_RUN_KEEP: directory to which the logs are
# copied; FAULT_RUN_KINDS: regular expression of the faults, by default all;
# FAULT_RUN_WINDOW_MS: idempotency window (at least 20 s if the run has to show
# that keys stay unique through planned stops).
# Exit code: 0 without violations, 1 with violations, 2 when the run cannot be
# judged, for example because a port of the run was taken.
# The seed determines the faults and their times, not the interleaving of the
# processes.
build=$1
seed=$2
seconds=$3
. src/test_e2e/fleet.sh

nodes=5
backends=10
mill_rate=100
mill_burst=100
# Greatest number of simultaneous faults of nodes and their connections. Every
# fifth seed has no bound, so that quorums are lost, too.
max_node_faults=2
[ $((seed % 5)) -ne 0 ] || max_node_faults=$nodes

random_between() { # lowest, highest: sets $random_value
	random_value=$(($1 + (RANDOM * 32768 + RANDOM) % ($2 - $1 + 1)))
}

# Faults by name: kind of target, shortest and longest time in ms. Version
# changes last longer than the 10 s in which they come into force.
kinds=(
	"kill host 300 4000" "stop host 1000 4000" "pause host 300 13000"
	"stop-paused host 500 5000"
	"cut-forward link 300 6000" "cut-backward link 300 6000"
	"silent link 300 6000" "slow-link link 300 3000"
	"backend-kill order 200 3000" "backend-stop order 200 3000"
	"slow order 500 5000" "failing order 500 5000"
	"truncating order 500 5000" "shedding order 500 5000"
	"withdraw yard 12000 14000" "leave order 12000 14000"
	"weight order 1000 4000" "service-away service 1000 8000"
)

for i in "${!kinds[@]}"; do
	[[ ${kinds[$i]%% *} =~ ^(${FAULT_RUN_KINDS:-.*})$ ]] || unset "kinds[$i]"
done
kinds=("${kinds[@]}")

# Whether no fault is planned for target $3 from $1 to $2 (ms).
has_no_fault() {
	local p from to occupied
	for p in "${planned[@]}"; do
		read -r from to occupied <<<"$p"
		[ "$occupied" != "$3" ] || [ "$1" -gt "$to" ] ||
			[ "$2" -lt "$from" ] || return 1
	done
}

# Prints how many faults of nodes and connections are planned for a time.
node_faults_at() { # ms
	local p from to occupied n=0
	for p in "${planned[@]}"; do
		read -r from to occupied <<<"$p"
		[[ $occupied != @(host|link)* ]] || [ "$1" -lt "$from" ] ||
			[ "$1" -gt "$to" ] || n=$((n + 1))
	done
	echo "$n"
}

# Writes "MS begin|end FAULT TARGET NUMBER" lines in the order of their times.
make_plan() {
	local at=500 end=$((seconds * 1000)) fault kind low high to target occupied
	planned=()
	# RANDOM is seeded here, since a subshell, as in a pipe, starts with
	# another seed.
	RANDOM=$seed
	while [ "$at" -lt "$end" ]; do
		random_between 0 $((${#kinds[@]} - 1))
		read -r fault kind low high <<<"${kinds[$random_value]}"
		random_between "$low" "$high"
		to=$((at + random_value))
		random_between 0 $((nodes - 1))
		target=host$random_value
		random_between 0 $((backends - 1))
		[ "$kind" != order ] || target=order$random_value
		[ "$kind" != yard ] || target=yard
		[ "$kind" != service ] || target=service
		occupied=$target
		[ "$kind" != link ] || occupied=link-$target
		random_between 0 1000000
		if [ "$to" -le "$end" ] && has_no_fault "$at" "$to" "$occupied" &&
			{ [[ $occupied != @(host|link)* ]] ||
				[ "$(node_faults_at "$at")" -lt $max_node_faults ]; } &&
			add_versions "$fault" "$at" "$to"; then
			planned+=("$at $to $occupied")
			echo "$at begin $fault $target $random_value"
			echo "$to end $fault $target $random_value"
		fi
		random_between 100 900
		at=$((at + random_value))
	done >"$fleet_dir/unsorted"
	sort -n -s "$fleet_dir/unsorted"
}

# Adds the publications of a fault to the plan, or fails if they conflict with
# it. The configuration service is not stopped in the 10 s after a publication:
# paused nodes would not read the version in time.
add_versions() { # fault, begin, end
	case "$1" in
	service-away) has_no_fault $(($2 - 10000)) "$3" version ;;
	withdraw | leave | weight)
		has_no_fault "$2" $(($2 + 10000)) service &&
			has_no_fault "$3" $(($3 + 10000)) service &&
			planned+=("$2 $2 version" "$3 $3 version")
		;;
	esac
}

record_event() { # fault, target, begin or end, exit code
	echo "$("$build/fault_judge" --now) $*" >>"$fleet_dir/events"
}

version=1
publish() {
	version=$((version + 1))
	fleet_config $version
}

# send_relay_command HOST COMMAND NUMBER: the number selects the relay of the
# data port, of the control port, or both.
send_relay_command() {
	[ $(($3 % 3)) -eq 1 ] || echo "$2" >"$fleet_dir/data${1#host}"
	[ $(($3 % 3)) -eq 2 ] || echo "$2" >"$fleet_dir/control${1#host}"
}

set_backend_mode() { # backend, number, mode
	fleet_set_mode "${1#order}" "$3&percent=$((30 + $2 % 71))"
}

# Whether the child process has executed its program. A signal before that would
# make bash run the exit trap of this shell, which ends the fleet.
has_executed_program() { # process id
	local name=
	read -r name 2>/dev/null <"/proc/$1/comm"
	[ "$name" != bash ]
}

# Each node has to run before a fault that stops or pauses it, and at the end.
node_ended=0
check_node_runs() { # host
	kill -0 "${fleet_pid[$1]}" 2>/dev/null && return
	tail -n 20 "$fleet_dir/$1.log"
	# An outgoing connection took the port of the restarted node.
	if tail -n 5 "$fleet_dir/$1.log" | grep -q "Address already in use"; then
		exit 2
	fi
	echo "VIOLATION: $1 ended by itself"
	node_ended=1
}

begin() { # fault, target, number
	case "$2" in
	host* | order*) fleet_poll has_executed_program "${fleet_pid[$2]}" ;;
	esac
	case "$1" in
	kill | stop* | pause) check_node_runs "$2" ;;
	esac
	case "$1" in
	withdraw | leave) ;;
	*) record_event "$1" "$2" begin ;;
	esac
	case "$1" in
	kill) fleet_kill "$2" KILL 2>/dev/null ;;
	stop) kill -TERM "${fleet_pid[$2]}" ;;
	stop-paused)
		kill -STOP "${fleet_pid[$2]}"
		kill -TERM "${fleet_pid[$2]}"
		;;
	pause) kill -STOP "${fleet_pid[$2]}" ;;
	cut-forward) send_relay_command "$2" drop-forward "$3" ;;
	cut-backward) send_relay_command "$2" drop-backward "$3" ;;
	silent) send_relay_command "$2" silent "$3" ;;
	slow-link) send_relay_command "$2" "delay-ms $((50 + $3 % 950))" "$3" ;;
	backend-kill) fleet_kill "$2" KILL 2>/dev/null ;;
	backend-stop) fleet_kill "$2" TERM ;;
	slow) set_backend_mode "$2" "$3" "delay_ms=$((100 + $3 % 3000))" ;;
	failing) set_backend_mode "$2" "$3" status=500 ;;
	truncating) set_backend_mode "$2" "$3" truncate=1 ;;
	shedding) set_backend_mode "$2" "$3" status=503 ;;
	withdraw)
		fleet_hash_two=
		publish
		;;
	leave)
		fleet_states[${2#order}]=leaving
		publish
		;;
	weight)
		fleet_weights[${2#order}]=$((2 + $3 % 4))
		publish
		;;
	service-away) fleet_kill service KILL 2>/dev/null ;;
	esac
	# The new version applies from its publication.
	case "$1" in
	withdraw | leave) record_event "$1" "$2" begin ;;
	esac
}

end() { # fault, target, number
	local code=
	case "$1" in
	# From here on executions are allowed again.
	withdraw | leave) record_event "$1" "$2" end ;;
	esac
	case "$1" in
	kill) fleet_start_node "${2#host}" ;;
	stop*)
		kill -CONT "${fleet_pid[$2]}" 2>/dev/null
		wait "${fleet_pid[$2]}"
		code=$?
		record_event "$1" "$2" end $code
		fleet_start_node "${2#host}"
		;;
	pause) kill -CONT "${fleet_pid[$2]}" ;;
	cut-* | silent) send_relay_command "$2" pass "$3" ;;
	slow-link) send_relay_command "$2" "delay-ms 0" "$3" ;;
	backend-*) fleet_start_backend "${2#order}" ;;
	slow | failing | truncating | shedding) fleet_set_mode "${2#order}" x=1 ;;
	withdraw)
		fleet_hash_two=$(fleet_key_hash key-two)
		publish
		;;
	leave)
		unset "fleet_states[${2#order}]"
		publish
		;;
	weight)
		unset "fleet_weights[${2#order}]"
		publish
		;;
	service-away) fleet_start_service ;;
	esac
	case "$1" in
	withdraw | leave | stop*) ;;
	*) record_event "$1" "$2" end ;;
	esac
}

# All nodes listen on another loopback address, behind a relay for each port.
start_relay() { # name, port
	mkfifo "$fleet_dir/$1"
	"$build/tcp_relay" "$2" "$2" 127.0.0.2 0<>"$fleet_dir/$1" \
		>"$fleet_dir/$1.log" &
	fleet_pid[$1]=$!
}

start_load() { # account, key, rate, caller's timeout in ms
	local i urls=() stops
	stops=$(grep -c " end stop" "$fleet_dir/plan")
	for ((i = 0; i < nodes; i++)); do
		urls+=(--url "http://127.0.0.1:$(fleet_port $i)")
	done
	"$build/load_generator" --rate "$3" --duration $((seconds + stops * 2 + 5)) \
		--connections 400 --bookings 50 --keyed 40 --padding 20000 \
		--timeout-ms "$4" --seed "$seed" --id-prefix "$1" --key "$2" \
		--each "${urls[@]}" >"$fleet_dir/load.all.$1" &
	loads+=($!)
}

fleet_service=1
fleet_timeout_ms=2000
fleet_rate=$mill_rate
fleet_burst=$mill_burst
fleet_idempotency_window_ms=${FAULT_RUN_WINDOW_MS:-20000}
fleet_flags="--bind-address 127.0.0.2 --grace-ms 6000"
for ((i = 0; i < nodes; i++)); do
	start_relay "data$i" $((fleet_base_port + i * 10 + 2))
	start_relay "control$i" $((fleet_base_port + i * 10 + 3))
done
touch "$fleet_dir/events"
make_plan >"$fleet_dir/plan"
fleet_start $nodes $backends || exit 2
for name in "${!fleet_pid[@]}"; do
	kill -0 "${fleet_pid[$name]}" 2>/dev/null && continue
	echo "$name did not start" >&2
	exit 2
done

loads=()
start_load mill key-one $((mill_rate * 12 / 10)) 5000
start_load yard key-two 80 1500
begin_us=$("$build/fault_judge" --now)
while read -r at what fault target number; do
	now_us=$("$build/fault_judge" --now)
	wait_ms=$((at - (now_us - begin_us) / 1000))
	if [ $wait_ms -gt 0 ]; then
		sleep "$((wait_ms / 1000)).$(printf %03d $((wait_ms % 1000)))"
	else
		# The preceding step took longer than planned, for example a
		# stop of a node: all later steps are delayed by the same time,
		# so that faults planned apart do not overlap.
		begin_us=$((begin_us - wait_ms * 1000))
	fi
	"$what" "$fault" "$target" "$number"
done <"$fleet_dir/plan"
wait "${loads[@]}"
# Longer than any request may still be in progress at a node.
sleep 3
for account in mill yard; do
	grep "^$account-" "$fleet_dir/load.all.$account" \
		>"$fleet_dir/load.$account"
	rm "$fleet_dir/load.all.$account"
done
for ((i = 0; i < nodes; i++)); do
	check_node_runs host$i
done
"$build/fault_judge" "$fleet_dir" mill:$mill_rate:$mill_burst yard:1000:1000
code=$?
[ $code -ne 0 ] || code=$node_ended
[ -z "${FAULT_RUN_KEEP:-}" ] || {
	mkdir -p "$FAULT_RUN_KEEP"
	cp "$fleet_dir"/{events,plan,load.*,*.log} "$FAULT_RUN_KEEP/"
}
exit $code
