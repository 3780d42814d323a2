# Starts a small fleet on loopback: sourced by the end-to-end tests and by the
# demo. Ends only the processes that it started.
#
# fleet_start NODES BACKENDS [EXTRA_JSON]: one service "orders" whose backend
# servers are spread over the nodes.

# Below 32768, where the system takes ports of outgoing connections from.
fleet_base=${BB_BASE_PORT:-$((10000 + ($$ % 220) * 100))}
# Outgoing connections have the source address 127.0.0.1: listeners of a fleet
# with another loopback address find no port in use, whatever its number.
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
	echo $((fleet_base + $1 * 10))
}

fleet_admin_port() {
	echo $((fleet_base + $1 * 10 + 1))
}

fleet_backend_port() {
	echo $((fleet_base + 60 + $1))
}

# BLAKE2b-256 of a key, as the configuration has it.
fleet_key_hash() {
	printf "%s" "$1" | b2sum -l 256 | cut -d" " -f1
}

# With fleet_curve set, each node has a CURVE key.
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

# fleet_config VERSION: writes the document. fleet_weights and fleet_states
# have what differs from weight 1 and state "in", by number of backend server.
fleet_weights=()
fleet_states=()
fleet_config() {
	local i hosts="" backends="" state
	for ((i = 0; i < fleet_nodes; i++)); do
		hosts+="{\"name\":\"host$i\",\"region\":\"r1\",\"zone\":\"z$((i % 3))\",
\"address\":\"$fleet_address\",\"data_port\":$((fleet_base + i * 10 + 2)),
\"control_port\":$((fleet_base + i * 10 + 3)),\"curve_key\":\"$(fleet_curve_public $i)\"},"
	done
	for ((i = 0; i < fleet_backends; i++)); do
		state=${fleet_states[$i]:-in}
		[ "${fleet_leaving:-}" = "$i" ] && state=leaving
		backends+="{\"name\":\"order$i\",\"host\":\"host$((i % fleet_nodes))\",
\"service\":\"orders\",\"url\":\"http://$fleet_address:$(fleet_backend_port $i)\",
\"weight\":${fleet_weights[$i]:-${fleet_weight:-1}},\"slots\":4,\"max_connections\":100,\"state\":\"$state\"},"
	done
	cat >"$fleet_dir/config.tmp" <<JSON
{"version":$1,"automation":${fleet_automation:-true},
"idempotency_window_ms":${fleet_window_ms:-2000},
"hosts":[${hosts%,}],
"services":[{"name":"orders","floor_percent":60}],
"backends":[${backends%,}],
"routes":[
{"name":"book","path_prefix":"/orders","methods":["POST"],"service":"orders",
"idempotent":false,"access":"open","max_body_bytes":65536,
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
	[ -z "${fleet_service:-}" ] || fleet_pages "$1"
}

# With fleet_service set, the nodes read a stand-in of the configuration
# service instead of the file. Versions are published one after the other into
# the same directory, and each is kept in one of its own. With fleet_unserved
# set, the stand-in goes on serving an earlier one.
fleet_pages() { # version
	[ -e "$fleet_dir/signing-key" ] ||
		"$build/baobabctl" signing-key new "$fleet_dir/signing-key" \
			>"$fleet_dir/signing-key.public"
	mkdir -p "$fleet_dir/pages"
	"$build/baobabctl" publish "$fleet_dir/config.json" \
		--directory "$fleet_dir/pages" \
		--signing-key "$fleet_dir/signing-key" >"$fleet_dir/publish.log" ||
		cat "$fleet_dir/publish.log" >&2
	cp -r "$fleet_dir/pages" "$fleet_dir/pages-$1"
	[ -n "${fleet_unserved:-}" ] || fleet_serve "$1"
}

# fleet_serve VERSION: what the stand-in serves from now on.
fleet_serve() {
	ln -sfn "pages-$1" "$fleet_dir/live.tmp"
	mv -T "$fleet_dir/live.tmp" "$fleet_dir/live"
}

fleet_service_port() {
	echo $((fleet_base + 90))
}

fleet_start_service() { # [flags]
	"$build/config_service_standin" --directory "$fleet_dir/live" \
		--address "$fleet_address" --port "$(fleet_service_port)" \
		--watch "${fleet_watch_ms:-500}" "$@" >/dev/null &
	fleet_pid[service]=$!
}

# fleet_relay_service HOST_NUMBER...: these nodes reach the configuration
# service through a relay each, service0 and so on.
declare -A fleet_service_ports
fleet_relay_service() {
	local h
	for h in "$@"; do
		fleet_service_ports[$h]=$((fleet_base + 91 + h))
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
		${fleet_source:-$(fleet_config_flags "$1")} \
		--lease-term-ms 4000 --freshness-ms 4000 ${fleet_flags:-} \
		$([ "$1" = 1 ] && echo "${fleet_host1_flags:-}") \
		>>"$fleet_dir/host$1.log" 2>&1 &
	fleet_pid[host$1]=$!
}

# fleet_start_relay NAME PORT [TARGET_PORT [TARGET_ADDRESS]]: fleet_relay NAME
# COMMAND tells it what to do with the bytes. By default it stands before
# host1, which then has to bind to another loopback address.
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

fleet_relay() { # name, command
	echo "$2" >&"${fleet_relay_fd[$1]}"
}

# Relays before the data and the control port of host1.
fleet_relay_host1() {
	fleet_host1_flags="--bind-address ${fleet_address/127.0/127.1}"
	fleet_start_relay data $((fleet_base + 12))
	fleet_start_relay control $((fleet_base + 13))
}

fleet_relay_host1_both() { # command
	fleet_relay data "$1"
	fleet_relay control "$1"
}

# fleet_poll COMMAND...: waits until the command succeeds; the limit is far
# above what any machine needs.
fleet_poll_s=60
fleet_poll() {
	local end=$((SECONDS + fleet_poll_s))
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

# A new fleet lends no rate before leases that an earlier one may have made
# have ended.
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
		fleet_mode "$i" reset=1
	done
}

# fleet_kill NAME SIGNAL: ends one process of the fleet, returns its exit code.
fleet_kill() {
	local pid=${fleet_pid[$1]}
	unset "fleet_pid[$1]"
	kill "-$2" "$pid"
	wait "$pid" 2>/dev/null
}

# fleet_wait_for WHAT COMMAND...: waits until the command succeeds.
fleet_wait_for() {
	local what=$1
	shift
	fleet_poll "$@" && return 0
	expect "$what" "reached" "not reached in $fleet_poll_s s"
	return 1
}

# fleet_status HOST_NUMBER FIELD: a number from /status.
fleet_status() {
	curl -s "http://$fleet_address:$(fleet_admin_port "$1")/status" |
		sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}

# fleet_publish VERSION: writes the document and waits until all nodes have it.
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

# fleet_reads HOST_NUMBER: its reads of the configuration service so far, its
# watches included.
fleet_reads() {
	curl -s "http://$fleet_address:$(fleet_admin_port "$1")/metrics" |
		sed -n 's/^baobabward_config_reads_total \([0-9]*\).*/\1/p'
}

fleet_has_read() { # host number, reads
	local n
	n=$(fleet_reads "$1")
	[ "${n:-0}" -ge "$2" ]
}

fleet_is_idle() { # host number
	[ "$(fleet_status "$1" busy)" = 0 ]
}

# fleet_call HOST_NUMBER METHOD PATH TEST_ID [curl arguments]: prints
# "STATUS VERDICT" and leaves headers and body in $fleet_out, by default
# $fleet_dir; concurrent calls need a folder each.
fleet_call() {
	local host=$1 method=$2 path=$3 id=$4
	local fleet_dir=${fleet_out:-$fleet_dir}
	shift 4
	rm -f "$fleet_dir/headers"
	curl -s -m 20 -X "$method" -H "Authorization: Bearer ${fleet_key:-key-one}" \
		-H "X-Test-Id: $id" -D "$fleet_dir/headers" -o "$fleet_dir/body" \
		-w '%{http_code} ' "$@" "http://$fleet_address:$(fleet_port "$host")$path"
	[ -f "$fleet_dir/headers" ] || return
	tr -d '\r' <"$fleet_dir/headers" |
		sed -n 's/^[Bb]aobabward-[Vv]erdict: //p' | tail -n 1
}

# fleet_call_later HOST_NUMBER METHOD PATH TEST_ID [curl arguments]: as
# fleet_call, in the background; fleet_answer prints what it would print.
fleet_call_later() {
	mkdir -p "$fleet_dir/$4"
	(
		trap - EXIT
		fleet_out="$fleet_dir/$4" fleet_call "$@" >"$fleet_dir/$4/answer"
	) &
	fleet_calls+=($!)
}
fleet_calls=()

fleet_wait_calls() {
	wait "${fleet_calls[@]}"
	fleet_calls=()
}

fleet_answer() { # test id
	cat "$fleet_dir/$1/answer"
}

# fleet_log BACKEND: execution log of a backend server stand-in.
fleet_log() {
	curl -s "http://$fleet_address:$(fleet_backend_port "$1")/standin/log"
}

fleet_mode() { # backend, query
	curl -s -o /dev/null -X POST \
		"http://$fleet_address:$(fleet_backend_port "$1")/standin/mode?$2"
}

# fleet_hold BACKEND...: requests stay in progress at these until fleet_release.
fleet_hold() {
	local b
	for b in "$@"; do
		fleet_mode "$b" hold=1
	done
}

fleet_release() { # backend...
	local b
	for b in "$@"; do
		fleet_mode "$b" hold=0
	done
}

# fleet_executions TEST_ID: executions over all backend servers.
fleet_executions() {
	local i n sum=0
	for ((i = 0; i < fleet_backends; i++)); do
		n=$(fleet_log "$i" | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p")
		sum=$((sum + ${n:-0}))
	done
	echo "$sum"
}

# fleet_total BACKEND: requests that it executed.
fleet_total() {
	fleet_log "$1" | sed 's/.*"total":\([0-9]*\).*/\1/'
}

# fleet_totals_reach NUMBER: whether all backend servers together executed it.
fleet_totals_reach() {
	local i sum=0
	for ((i = 0; i < fleet_backends; i++)); do
		sum=$((sum + $(fleet_total "$i")))
	done
	[ "$sum" -ge "$1" ]
}

# fleet_start_bookings: nine bookings, book-1 to book-9, at host0; returns when
# all of them run at backend servers, which have to hold or delay them.
fleet_start_bookings() {
	local i
	for ((i = 1; i <= 9; i++)); do
		fleet_call_later 0 POST /orders "book-$i" -d x=1
	done
	fleet_wait_for "all bookings run" fleet_totals_reach 9
}

# fleet_expect_bookings_ran: after fleet_wait_calls.
fleet_expect_bookings_ran() {
	local i
	for ((i = 1; i <= 9; i++)); do
		expect "book-$i" "200 ran" "$(fleet_answer "book-$i")"
		expect "book-$i ran once" 1 "$(fleet_executions "book-$i")"
	done
}

# fleet_ids BACKEND: test ids that it executed.
fleet_ids() {
	fleet_log "$1" | sed 's/.*"executions":{\([^}]*\)}.*/\1/' |
		tr ',' '\n' | sed -n 's/^"\(.*\)":[0-9]*$/\1/p'
}

# fleet_check_verdict TEST_ID: whether the answer to a booking agrees with
# what the backend servers did.
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

# fleet_start_load: lookups and bookings at the first
# three nodes, in one run of the load tool after the other until fleet_stop_load.
fleet_start_load() {
	touch "$fleet_dir/under_load" "$fleet_dir/load"
	fleet_load &
	fleet_load_pid=$!
}

fleet_load() {
	local n=0
	trap - EXIT
	while [ -e "$fleet_dir/under_load" ]; do
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

# fleet_load_reaches NUMBER: whether that many requests were answered, or the
# load ended because a request failed.
fleet_load_reaches() {
	kill -0 "$fleet_load_pid" 2>/dev/null || return 0
	[ "$(fleet_load_answers)" -ge "$1" ]
}

# fleet_wait_load WHAT NUMBER: until so many more requests were answered.
fleet_wait_load() {
	fleet_wait_for "$1" fleet_load_reaches $(($(fleet_load_answers) + $2))
}

# fleet_stop_load: expects that backend servers answered all requests.
fleet_stop_load() {
	rm "$fleet_dir/under_load"
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
