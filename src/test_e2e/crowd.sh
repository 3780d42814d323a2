# Crowds of hostile callers and bounds on the nodes, for the tests
# test_crowd_*.sh, which source this file first. It restarts the test under a time
# limit of its own.
#
# The checks hold on a machine of any speed: the process lives, its memory and
# open descriptors stay under a bound, and ordinary requests are served. None
# concerns times or shares of served requests.
crowd_time_limit_s=270
if [ -z "${crowd_is_limited:-}" ]; then
	export crowd_is_limited=1
	exec timeout "$crowd_time_limit_s" bash "$0" "$@"
fi
. src/test_e2e/fleet.sh

# Bodies of legal size in these tests have up to 1 MiB.
fleet_max_body_bytes=1048576
# So long that a caller that stops short is not ended by it.
fleet_timeout_ms=60000
crowd_callers=400
# Both accounts and several client addresses take part.
crowd_flags="--callers $crowd_callers --key key-one --key key-two --sources 4"
crowd_flags+=" --limit-s $crowd_time_limit_s"

# Sanitizers add to the memory of a process.
crowd_has_sanitizer() {
	grep -qa "__asan_init\|__tsan_init" "$build/baobabd"
}

crowd_memory_kb() { # host number, field of /proc/PID/status
	sed -n "s/^$2:[^0-9]*\([0-9]*\) kB/\1/p" \
		"/proc/${fleet_pid[host$1]}/status"
}

crowd_expect_at_most() { # what, bound, actual
	echo "$1: $3 (bound $2)"
	expect "$1" within "$([ "${3:-0}" -le "$2" ] && echo within || echo over)"
}

crowd_has_settled() {
	kill -0 "${fleet_pid[crowd]}" 2>/dev/null || return 0
	grep -q ^settled "$fleet_dir/crowd.log"
}

# crowd_expect_bounds WHAT MEMORY_MB: checks all nodes. The bound on descriptors
# is the callers and 100 for the node itself.
crowd_expect_bounds() {
	local i
	for ((i = 0; i < fleet_nodes; i++)); do
		expect "$1: host$i lives" yes \
			"$(kill -0 "${fleet_pid[host$i]}" && echo yes)"
		crowd_expect_at_most "$1: descriptors of host$i" \
			$((crowd_callers + 100)) \
			"$(ls "/proc/${fleet_pid[host$i]}/fd" | wc -l)"
		if crowd_has_sanitizer; then
			echo "$1: memory is not checked with sanitizers"
			continue
		fi
		echo "$1: VmRSS of host$i now: $(crowd_memory_kb "$i" VmRSS) kB"
		crowd_expect_at_most "$1: peak memory of host$i in kB" \
			$(($2 * 1024)) "$(crowd_memory_kb "$i" VmHWM)"
	done
}

# crowd_run WHAT MEMORY_MB [flags of caller_crowd]: starts new nodes, lets the
# crowd come, and sends an ordinary booking while it stays and an ordinary
# request after it has left.
crowd_run() {
	local what=$1 memory_mb=$2
	shift 2
	crowd_number=$((${crowd_number:-0} + 1))
	# With the 4 s of other tests a node that gets no processor time beside
	# the crowd refuses requests as not-current.
	fleet_flags="--freshness-ms 10000 ${fleet_flags:-}"
	fleet_start 2 2 || exit 1
	head -c 1024 /dev/zero | tr '\0' x >"$fleet_dir/booking"
	head -c 1048576 /dev/zero | tr '\0' x >"$fleet_dir/large"
	: >"$fleet_dir/crowd.log"
	# shellcheck disable=SC2086
	"$build/caller_crowd" --address "$fleet_address" \
		--port "$(fleet_port 0)" $crowd_flags "$@" \
		>"$fleet_dir/crowd.log" &
	fleet_pid[crowd]=$!
	fleet_wait_for "$what: the crowd has settled" crowd_has_settled
	expect "$what: booking of 1 KB while the crowd stays" "200 ran" \
		"$(fleet_call 0 POST /orders "while-$crowd_number" \
			--data-binary "@$fleet_dir/booking")"
	expect "$what: it ran once" 1 "$(fleet_executions "while-$crowd_number")"
	expect "$what: the crowd stayed" yes \
		"$(kill -0 "${fleet_pid[crowd]}" && echo yes)"
	crowd_expect_bounds "$what" "$memory_mb"
	fleet_kill crowd TERM
	sed "s/^/$what: crowd: /" "$fleet_dir/crowd.log"
	expect "$what: request after the crowd" "200 ran" \
		"$(fleet_call 0 GET /profiles/7 "after-$crowd_number")"
	fleet_wait_for "$what: body of 1 MiB after the crowd" crowd_serves_large
	crowd_stop_fleet
}

# crowd_run_at HOSTS WHAT MEMORY_MB [flags of caller_crowd]: starts new nodes and
# lets a crowd of $crowd_callers come at each of these nodes. They stay while
# $crowd_meanwhile runs; after they have left, ordinary requests must be served by
# all nodes. The bound on memory is that on the peak of each node.
crowd_nodes=2
crowd_backends=2
# Refused callers come back several times in this time.
crowd_meanwhile="sleep 5"
crowd_run_at() {
	local hosts=$1 what=$2 memory_mb=$3 h
	shift 3
	crowd_number=$((${crowd_number:-0} + 1))
	fleet_start "$crowd_nodes" "$crowd_backends" || exit 1
	head -c 1024 /dev/zero | tr '\0' x >"$fleet_dir/booking"
	for h in $hosts; do
		crowd_start "$h" "$@"
	done
	for h in $hosts; do
		fleet_wait_for "$what: the crowd at host$h has settled" \
			crowd_at_has_settled "$h"
	done
	$crowd_meanwhile
	crowd_expect_bounds "$what, meanwhile" "$memory_mb"
	for h in $hosts; do
		expect "$what: the crowd at host$h stayed" yes \
			"$(kill -0 "${fleet_pid[crowd$h]}" && echo yes)"
		fleet_kill "crowd$h" TERM
		sed "s/^/$what: crowd at host$h: /" "$fleet_dir/crowd$h.log"
	done
	for ((h = 0; h < crowd_nodes; h++)); do
		fleet_wait_for "$what: request at host$h after the crowd" \
			crowd_serves_request "$h"
		fleet_wait_for "$what: booking of 1 KB at host$h after the crowd" \
			crowd_serves_booking "$h"
	done
	crowd_expect_bounds "$what" "$memory_mb"
	crowd_stop_fleet
}

crowd_start() { # host number, flags of caller_crowd
	local h=$1
	shift
	: >"$fleet_dir/crowd$h.log"
	"$build/caller_crowd" --address "$fleet_address" \
		--port "$(fleet_port "$h")" --callers "$crowd_callers" \
		--key key-one --key key-two --sources 4 \
		--limit-s "$crowd_time_limit_s" "$@" >"$fleet_dir/crowd$h.log" &
	fleet_pid[crowd$h]=$!
}

crowd_at_has_settled() { # host number
	kill -0 "${fleet_pid[crowd$1]}" 2>/dev/null || return 0
	grep -q ^settled "$fleet_dir/crowd$1.log"
}

crowd_serves_request() { # host number
	[ "$(fleet_call "$1" GET /profiles/7 "after-$RANDOM")" = "200 ran" ]
}

crowd_serves_booking() { # host number
	[ "$(fleet_call "$1" POST /orders "booked-$RANDOM" \
		--data-binary "@$fleet_dir/booking")" = "200 ran" ]
}

# The node may learn some time after the crowd has left that it is gone.
crowd_serves_large() {
	[ "$(fleet_call 0 POST /orders "large-$crowd_number-$RANDOM" \
		-H "Expect:" --data-binary "@$fleet_dir/large")" = "200 ran" ]
}

crowd_has_ended() { # name of a process of the fleet
	! kill -0 "${fleet_pid[$1]}" 2>/dev/null
}

# All processes must end. One that hangs is killed, so that it does not disturb
# the next nodes.
crowd_stop_fleet() {
	local name
	for name in "${!fleet_pid[@]}"; do
		kill -TERM "${fleet_pid[$name]}"
	done
	for name in "${!fleet_pid[@]}"; do
		fleet_wait_for "$name ends" crowd_has_ended "$name" ||
			kill -KILL "${fleet_pid[$name]}"
		wait "${fleet_pid[$name]}" 2>/dev/null
		unset "fleet_pid[$name]"
	done
}

crowd_at_exit() {
	local p
	for p in "${fleet_pid[@]}"; do
		kill -KILL "$p" 2>/dev/null
	done
	fleet_stop
}
trap crowd_at_exit EXIT
