# Starts a small fleet on loopback. Sourced by the end-to-end tests, the
# measurements and the demo. Ends only the processes that it started.
#
# fleet_start NODES BACKENDS: starts a fleet with one service, "orders", whose
# backend servers are spread over the nodes.

# Below 32768: the system takes the ports of outgoing connections from there on.
fleet_base_port=${BB_BASE_PORT:-$((10000 + ($$ % 220) * 100))}
# Outgoing connections have the source address 127.0.0.1, so on another loopback
# address no outgoing connection can occupy a port of the fleet.
fleet_address=${BB_ADDRESS:-127.0.0.1}
fleet_dir=$(mktemp -d)
declare -A fleet_pid

fleet_stop() {
	local p
	for p in "${fleet_pid[@]}"; do
		kill -CONT "$p" 2>/dev/null
		kill -TERM "$p" 2>/dev/null
	done
	for p in "${fleet_pid[@]}"; do
		wait "$p" 2>/dev/null
	done
	rm -rf "$fleet_dir"
}
trap fleet_stop EXIT

fleet_port() { # host number: port for callers
	echo $((fleet_base_port + $1 * 10))
}

fleet_admin_port() {
	echo $((fleet_base_port + $1 * 10 + 1))
}

fleet_backend_port() {
	echo $((fleet_base_port + 60 + $1))
}

# Prints the BLAKE2b-256 hash of a key in the form used by the configuration.
fleet_key_hash() {
	printf "%s" "$1" | b2sum -l 256 | cut -d" " -f1
}

# Prints the public CURVE key of a node, which is created on first use. Prints
# nothing unless fleet_curve is set.
fleet_curve_public() { # host number
	if [ -z "${fleet_curve:-}" ]; then
		return
	fi
	[ -e "$fleet_dir/curve$1.public" ] ||
		"$build/baobabctl" curve-key new "$fleet_dir/curve$1" \
			>"$fleet_dir/curve$1.public"
	# Some Z85 characters are special in a here-document, none in JSON.
	cat "$fleet_dir/curve$1.public"
}

# fleet_config VERSION: writes the configuration document. fleet_weights and
# fleet_states, indexed by the number of the backend server, override its weight
# (fleet_weight, by default 1) and its state (by default "in"). fleet_policies is
# the content of the object "policies".
fleet_weights=()
fleet_states=()
fleet_config() {
	local i hosts="" backends="" state
	for ((i = 0; i < fleet_nodes; i++)); do
		hosts+="{\"name\":\"host$i\",\"region\":\"r1\",\"zone\":\"z$((i % 3))\",
\"address\":\"$fleet_address\",\"data_port\":$((fleet_base_port + i * 10 + 2)),
\"control_port\":$((fleet_base_port + i * 10 + 3)),\"curve_key\":\"$(fleet_curve_public $i)\",
\"evacuated\":$([ "${fleet_evacuated_host:-}" = "$i" ] && echo true || echo false)},"
	done
	for ((i = 0; i < fleet_backends; i++)); do
		state=${fleet_states[$i]:-in}
		[ "${fleet_leaving_backend:-}" = "$i" ] && state=leaving
		backends+="{\"name\":\"order$i\",\"host\":\"host$((i % fleet_nodes))\",
\"service\":\"orders\",\"url\":\"http://$fleet_address:$(fleet_backend_port $i)\",
\"weight\":${fleet_weights[$i]:-${fleet_weight:-1}},\"slots\":4,\"max_connections\":100,\"state\":\"$state\"},"
	done
	cat >"$fleet_dir/config.tmp" <<JSON
{"version":$1,"automation":${fleet_automation:-true},
${fleet_policies:+"\"policies\":{$fleet_policies},"}
"idempotency_window_ms":${fleet_idempotency_window_ms:-2000},
"hosts":[${hosts%,}],
"services":[{"name":"orders","floor_percent":60}],
"backends":[${backends%,}],
"routes":[
{"name":"book","path_prefix":"${fleet_book_prefix:-/orders}","methods":["POST"],"service":"orders",
"idempotent":false,"access":"open","max_body_bytes":${fleet_max_body_bytes:-65536},
"timeout_ms":${fleet_timeout_ms:-2000}},
{"name":"lookup","path_prefix":"/profiles","methods":["GET"],
"service":"orders","idempotent":true,"access":"open","max_body_bytes":65536,
"timeout_ms":${fleet_timeout_ms:-2000}}],
"accounts":[
{"name":"mill","rate_per_s":${fleet_rate:-1000},"burst":${fleet_burst:-1000},
"weight":1,"key_hashes":["$fleet_hash_one"]},
{"name":"yard","rate_per_s":1000,"burst":1000,"weight":1,
"key_hashes":[${fleet_hash_two:+\"$fleet_hash_two\"}]}]}
JSON
	mv "$fleet_dir/config.tmp" "$fleet_dir/config.json"
	[ -z "${fleet_service:-}" ] || fleet_publish_pages "$1"
}

# With fleet_service set, the nodes read a stand-in of the configuration service
# instead of the file. Each version is published into the same directory and
# copied to a directory of its own, pages-VERSION. With fleet_serve_unchanged
# set, the stand-in continues to serve the version that it served before.
fleet_publish_pages() { # version
	[ -e "$fleet_dir/signing-key" ] ||
		"$build/baobabctl" signing-key new "$fleet_dir/signing-key" \
			>"$fleet_dir/signing-key.public"
	mkdir -p "$fleet_dir/pages"
	"$build/baobabctl" publish "$fleet_dir/config.json" \
		--directory "$fleet_dir/pages" \
		--signing-key "$fleet_dir/signing-key" >"$fleet_dir/publish.log" ||
		cat "$fleet_dir/publish.log" >&2
	cp -r "$fleet_dir/pages" "$fleet_dir/pages-$1"
	[ -n "${fleet_serve_unchanged:-}" ] || fleet_serve_version "$1"
}

# fleet_serve_version VERSION: makes the stand-in serve this version from now
# on.
fleet_serve_version() {
	ln -sfn "pages-$1" "$fleet_dir/live.tmp"
	mv -T "$fleet_dir/live.tmp" "$fleet_dir/live"
}

fleet_service_port() {
	echo $((fleet_base_port + 90))
}

fleet_start_service() { # [flags]
	"$build/config_service_standin" --directory "$fleet_dir/live" \
		--address "$fleet_address" --port "$(fleet_service_port)" \
		--watch "${fleet_watch_ms:-500}" "$@" >/dev/null &
	fleet_pid[service]=$!
}

# fleet_start_service_relays HOST_NUMBER...: starts a relay (service0 and so on)
# for each of these nodes, through which it reaches the configuration service.
declare -A fleet_service_ports
fleet_start_service_relays() {
	local h
	for h in "$@"; do
		fleet_service_ports[$h]=$((fleet_base_port + 91 + h))
		fleet_start_relay "service$h" "${fleet_service_ports[$h]}" \
			"$(fleet_service_port)" "$fleet_address"
	done
}

fleet_config_flags() { # host number
	if [ -z "${fleet_service:-}" ]; then
		echo "--config-file $fleet_dir/config.json"
	else
		echo "--config-url http://$fleet_address:${fleet_service_ports[$1]:-$(fleet_service_port)}" \
			"--config-public-key $(cat "$fleet_dir/signing-key.public")"
	fi
}

fleet_start_backend() {
	"$build/backend_standin" "order$1" "$(fleet_backend_port "$1")" \
		"$fleet_address" >>"$fleet_dir/order$1.log" &
	fleet_pid[order$1]=$!
}

fleet_start_node() {
	${fleet_curve:+env} \
		${fleet_curve:+BAOBABWARD_CURVE_SECRET="$(cat "$fleet_dir/curve$1" 2>/dev/null)"} \
		"$build/baobabd" --host "host$1" --port "$(fleet_port "$1")" \
		--admin-port "$(fleet_admin_port "$1")" \
		--listen "$fleet_address" --admin-listen "$fleet_address" \
		${fleet_config_source_flags:-$(fleet_config_flags "$1")} \
		--lease-term-ms 4000 --freshness-ms 4000 ${fleet_flags:-} \
		$([ "$1" = 1 ] && echo "${fleet_host1_flags:-}") \
		>>"$fleet_dir/host$1.log" 2>&1 &
	fleet_pid[host$1]=$!
}

# fleet_start_relay NAME PORT [TARGET_PORT [TARGET_ADDRESS]]: starts a TCP
# relay, which fleet_relay_command controls. By default it forwards to the same
# port on another loopback address, to which host1 has to bind.
declare -A fleet_relay_fd
fleet_start_relay() {
	local fd
	mkfifo "$fleet_dir/$1"
	"$build/tcp_relay" "$2" "${3:-$2}" "${4:-${fleet_address/127.0/127.1}}" \
		"$fleet_address" <"$fleet_dir/$1" >"$fleet_dir/$1.log" &
	fleet_pid[$1]=$!
	exec {fd}>"$fleet_dir/$1"
	fleet_relay_fd[$1]=$fd
}

fleet_relay_command() { # name, command
	echo "$2" >&"${fleet_relay_fd[$1]}"
}

# Starts relays in front of the data port and the control port of host1.
fleet_start_host1_relays() {
	fleet_host1_flags="--bind-address ${fleet_address/127.0/127.1}"
	fleet_start_relay data $((fleet_base_port + 12))
	fleet_start_relay control $((fleet_base_port + 13))
}

fleet_host1_relays_command() { # command
	fleet_relay_command data "$1"
	fleet_relay_command control "$1"
}

# fleet_poll COMMAND...: waits until the command succeeds. The limit is so long
# that a slow machine does not reach it.
fleet_poll_limit_s=60
fleet_poll() {
	local end=$((SECONDS + fleet_poll_limit_s))
	until "$@"; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.1
	done
}

fleet_is_ready() { # host number
	curl -sf -m 20 -o /dev/null \
		"http://$fleet_address:$(fleet_admin_port "$1")/readyz"
}

fleet_wait_ready() { # host number
	fleet_poll fleet_is_ready "$1" && return 0
	echo "host$1 did not become ready" >&2
	cat "$fleet_dir/host$1.log" >&2
	return 1
}

fleet_admits() { # host number
	[ "$(fleet_call "$1" GET /profiles/wait wait)" = "200 ran" ]
}

# A new fleet lends no rate until leases that an earlier fleet may have granted
# have expired.
fleet_wait_admitted() { # host number
	fleet_poll fleet_admits "$1" && return 0
	echo "host$1 admits no requests" >&2
	cat "$fleet_dir/host$1.log" >&2
	return 1
}

fleet_start() {
	local i
	fleet_nodes=$1
	fleet_backends=$2
	fleet_hash_one=$(fleet_key_hash key-one)
	fleet_hash_two=$(fleet_key_hash key-two)
	fleet_config 1
	[ -z "${fleet_service:-}" ] || fleet_start_service
	for ((i = 0; i < fleet_backends; i++)); do
		fleet_start_backend "$i"
	done
	for ((i = 0; i < fleet_nodes; i++)); do
		fleet_start_node "$i"
	done
	for ((i = 0; i < fleet_nodes; i++)); do
		fleet_wait_ready "$i" || return 1
	done
	for ((i = 0; i < fleet_nodes; i++)); do
		fleet_wait_admitted "$i" || return 1
	done
	for ((i = 0; i < fleet_backends; i++)); do
		fleet_set_mode "$i" reset=1
	done
}

# fleet_kill NAME SIGNAL: sends the signal to a process of the fleet, waits for
# its end and returns its exit code.
fleet_kill() {
	local pid=${fleet_pid[$1]}
	unset "fleet_pid[$1]"
	kill "-$2" "$pid"
	wait "$pid" 2>/dev/null
}

# fleet_wait_for WHAT COMMAND...: waits until the command succeeds; a time-out
# counts as a failed expectation.
fleet_wait_for() {
	local what=$1
	shift
	fleet_poll "$@" && return 0
	expect "$what" "reached" "not reached in $fleet_poll_limit_s s"
	return 1
}

# fleet_status HOST_NUMBER FIELD: prints a numeric field of /status.
fleet_status() {
	curl -s "http://$fleet_address:$(fleet_admin_port "$1")/status" |
		sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}

# fleet_publish VERSION: writes the configuration document and waits until the
# version is in force at all nodes.
fleet_publish() {
	local i
	fleet_config "$1"
	for ((i = 0; i < fleet_nodes; i++)); do
		fleet_wait_for "host$i has version $1" fleet_has_version "$i" "$1"
	done
}

fleet_has_version() {
	[ "$(fleet_status "$1" config_version)" = "$2" ]
}

# fleet_config_reads HOST_NUMBER: prints how often the node has read the
# configuration service, including watches.
fleet_config_reads() {
	curl -s "http://$fleet_address:$(fleet_admin_port "$1")/metrics" |
		sed -n 's/^baobabward_config_reads_total \([0-9]*\).*/\1/p'
}

fleet_config_reads_reach() { # host number, reads
	local n
	n=$(fleet_config_reads "$1")
	[ "${n:-0}" -ge "$2" ]
}

fleet_is_idle() { # host number
	[ "$(fleet_status "$1" busy)" = 0 ]
}

# fleet_call HOST_NUMBER METHOD PATH TEST_ID [curl arguments]: prints
# "STATUS VERDICT" and writes headers and body to $fleet_out_dir, by default
# $fleet_dir. Concurrent calls need a directory each.
fleet_call() {
	local host=$1 method=$2 path=$3 id=$4
	local fleet_dir=${fleet_out_dir:-$fleet_dir}
	shift 4
	rm -f "$fleet_dir/headers"
	curl -s -m 20 -X "$method" -H "Authorization: Bearer ${fleet_key:-key-one}" \
		-H "X-Test-Id: $id" -D "$fleet_dir/headers" -o "$fleet_dir/body" \
		-w '%{http_code} ' "$@" "http://$fleet_address:$(fleet_port "$host")$path"
	[ -f "$fleet_dir/headers" ] || return
	tr -d '\r' <"$fleet_dir/headers" |
		sed -n 's/^[Bb]aobabward-[Vv]erdict: //p' | tail -n 1
}

# fleet_call_background HOST_NUMBER METHOD PATH TEST_ID [curl arguments]: as
# fleet_call, but in the background; fleet_answer prints the result.
fleet_call_background() {
	mkdir -p "$fleet_dir/$4"
	(
		trap - EXIT
		fleet_out_dir="$fleet_dir/$4" fleet_call "$@" >"$fleet_dir/$4/answer"
	) &
	fleet_call_pids+=($!)
}
fleet_call_pids=()

fleet_wait_calls() {
	wait "${fleet_call_pids[@]}"
	fleet_call_pids=()
}

fleet_answer() { # test id
	cat "$fleet_dir/$1/answer"
}

# fleet_execution_log BACKEND: prints the log of a backend server stand-in.
fleet_execution_log() {
	curl -s "http://$fleet_address:$(fleet_backend_port "$1")/standin/log"
}

fleet_set_mode() { # backend, query
	curl -s -o /dev/null -X POST \
		"http://$fleet_address:$(fleet_backend_port "$1")/standin/mode?$2"
}

# fleet_hold BACKEND...: makes these keep requests in progress until
# fleet_release.
fleet_hold() {
	local b
	for b in "$@"; do
		fleet_set_mode "$b" hold=1
	done
}

fleet_release() { # backend...
	local b
	for b in "$@"; do
		fleet_set_mode "$b" hold=0
	done
}

# fleet_executions TEST_ID: prints how often all backend servers together
# executed requests with this test id.
fleet_executions() {
	local i n sum=0
	for ((i = 0; i < fleet_backends; i++)); do
		n=$(fleet_execution_log "$i" | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p")
		sum=$((sum + ${n:-0}))
	done
	echo "$sum"
}

# fleet_executed BACKEND: prints how many requests the backend server executed.
fleet_executed() {
	fleet_execution_log "$1" | sed 's/.*"total":\([0-9]*\).*/\1/'
}

# fleet_executed_at_least NUMBER: whether all backend servers together executed
# that many requests.
fleet_executed_at_least() {
	local i sum=0
	for ((i = 0; i < fleet_backends; i++)); do
		sum=$((sum + $(fleet_executed "$i")))
	done
	[ "$sum" -ge "$1" ]
}

# fleet_start_bookings: sends nine bookings, book-1 to book-9, to host0 and
# returns when all of them run at backend servers, which have to hold or delay
# them.
fleet_start_bookings() {
	local i
	for ((i = 1; i <= 9; i++)); do
		fleet_call_background 0 POST /orders "book-$i" -d x=1
	done
	fleet_wait_for "all bookings are in progress" fleet_executed_at_least 9
}

# fleet_expect_bookings_ran: expects that each of these bookings ran once. To be
# called after fleet_wait_calls.
fleet_expect_bookings_ran() {
	local i
	for ((i = 1; i <= 9; i++)); do
		expect "book-$i" "200 ran" "$(fleet_answer "book-$i")"
		expect "book-$i ran once" 1 "$(fleet_executions "book-$i")"
	done
}

# fleet_executed_ids BACKEND: prints the test ids of the executed requests.
fleet_executed_ids() {
	fleet_execution_log "$1" | sed 's/.*"executions":{\([^}]*\)}.*/\1/' |
		tr ',' '\n' | sed -n 's/^"\(.*\)":[0-9]*$/\1/p'
}

# fleet_check_verdict TEST_ID: prints "yes" if the verdict of a booking agrees
# with the number of its executions at the backend servers.
fleet_check_verdict() {
	local answer n
	answer=$(fleet_answer "$1")
	n=$(fleet_executions "$1")
	case "$answer-$n" in
	*" not-run-0" | "200 ran-1" | *" ran-1") echo yes ;;
	"50"?" may-have-run-"[01]) echo yes ;;
	*) echo "answer $answer, executions $n" ;;
	esac
}

# fleet_start_load: sends lookups and bookings to the first three nodes in
# successive runs of load_generator until fleet_stop_load.
fleet_start_load() {
	touch "$fleet_dir/load_running" "$fleet_dir/load"
	fleet_run_load &
	fleet_load_pid=$!
}

fleet_run_load() {
	local n=0
	trap - EXIT
	while [ -e "$fleet_dir/load_running" ]; do
		n=$((n + 1))
		"$build/load_generator" --rate 200 --duration 2 --bookings 30 \
			--key key-one --key key-two --id-prefix "load-$n" --each \
			--url "http://$fleet_address:$(fleet_port 0)" \
			--url "http://$fleet_address:$(fleet_port 1)" \
			--url "http://$fleet_address:$(fleet_port 2)" || return 1
	done >>"$fleet_dir/load"
}

fleet_load_answers() {
	grep -c '^load-' "$fleet_dir/load"
}

# fleet_load_reaches NUMBER: whether that many requests were answered, or
# load_generator ended because a request failed.
fleet_load_reaches() {
	kill -0 "$fleet_load_pid" 2>/dev/null || return 0
	[ "$(fleet_load_answers)" -ge "$1" ]
}

# fleet_wait_load WHAT NUMBER: waits until that many more requests were
# answered.
fleet_wait_load() {
	fleet_wait_for "$1" fleet_load_reaches $(($(fleet_load_answers) + $2))
}

# fleet_stop_load: stops the load and expects that backend servers answered all
# requests.
fleet_stop_load() {
	rm "$fleet_dir/load_running"
	wait "$fleet_load_pid"
	expect "no request failed" 0 $?
	echo "requests: $(fleet_load_answers)," \
		"answered 200: $(grep -c '^load-.* 200 ran ' "$fleet_dir/load")"
	grep '^failed' "$fleet_dir/load"
	expect "requests that were not answered by a backend server" "" \
		"$(grep '^load-' "$fleet_dir/load" | grep -v ' 200 ran ' | head -n 5)"
}

fleet_failures=0
expect() { # what, expected, actual
	if [ "$2" = "$3" ]; then
		echo "ok: $1"
	else
		echo "FAILED: $1: expected \"$2\", got \"$3\""
		fleet_failures=$((fleet_failures + 1))
	fi
}

fleet_finish() {
	if [ "$fleet_failures" -ne 0 ]; then
		tail -n 20 "$fleet_dir"/host*.log
		exit 1
	fi
}
