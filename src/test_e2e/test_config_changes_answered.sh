#!/usr/bin/env bash
# Routes, client accounts, keys, limits and states of backend servers change every
# half second while bodies arrive in pieces, and nodes are restarted meanwhile.
# Guards against a whole request that gets neither an answer nor a refusal.
build=$1
. src/test_e2e/fleet.sh

changes=30
change_pause_s=0.5
uploaders=12
piece_pause_s=0.2
# Exit code of curl if the connection was refused: a draining node.
curl_refused=7

# omit NAME...: copies a document without the rows of these routes and accounts.
omit() {
	local name script=""
	for name in "$@"; do
		script+="s/\{\"name\":\"$name\"[^}]*\}//;"
	done
	tr -d '\n' | sed -E "$script s/,+/,/g; s/\[,/[/g; s/,\]/]/g"
}

# change VERSION: puts the next configuration in force.
change() {
	local v=$1 next="$fleet_dir/next" omitted=()
	case $((v % 6)) in
	1) omitted=(book mill) ;;
	2) omitted=(lookup yard) ;;
	4) omitted=(book lookup mill yard) ;;
	esac
	mkdir -p "$next"
	(
		fleet_dir=$next
		fleet_states[v % 3]=$([ $((v % 4)) = 0 ] && echo in || echo leaving)
		[ $((v % 5)) != 0 ] || fleet_rate=1
		[ $((v % 5)) != 1 ] || fleet_hash_two=
		[ $((v % 5)) != 2 ] || fleet_max_body_bytes=100
		fleet_config "$v"
		omit "${omitted[@]}" <"$next/config.json" >"$next/omitted.json"
	)
	mv "$next/omitted.json" "$fleet_dir/config.json"
}

pieces() {
	printf 'item='
	sleep "$piece_pause_s"
	head -c 2000 /dev/zero | tr '\0' x
	sleep "$piece_pause_s"
	printf 'end'
}

# upload NUMBER: sends bodies in pieces, in chunks, until the load ends. Writes a line
# for each: exit code of curl, status.
upload() {
	local n=0 host key status
	while [ -e "$fleet_dir/running" ]; do
		n=$((n + 1))
		host=$(((n + $1) % 3))
		key=$([ $((n % 2)) = 0 ] && echo key-one || echo key-two)
		status=$(pieces | curl -s -m 20 -T - -X POST -H "Expect:" \
			-H "Authorization: Bearer $key" \
			-H "X-Test-Id: upload-$1-$n" -o "$fleet_dir/upload-$1" \
			-w '%{http_code}' \
			"http://$fleet_address:$(fleet_port $host)/orders")
		echo "$? $status host$host upload-$1-$n"
	done >>"$fleet_dir/uploads-$1"
}

# restart HOST_NUMBER: SIGTERM, and a start when the process has ended.
restart() {
	fleet_kill "host$1" TERM
	expect "exit code of host$1" 0 $?
	fleet_start_node "$1"
}

fleet_start 3 3 || exit 1
touch "$fleet_dir/running"
fleet_start_load
upload_pids=()
for ((u = 0; u < uploaders; u++)); do
	(
		trap - EXIT
		upload "$u"
	) &
	upload_pids+=($!)
done
for ((v = 2; v < 2 + changes; v++)); do
	change "$v"
	sleep "$change_pause_s"
	case $v in
	10 | 20) restart $((v / 10 % 3)) ;;
	esac
done
rm "$fleet_dir/running" "$fleet_dir/load_running"
wait "${upload_pids[@]}" "$fleet_load_pid"
cat "$fleet_dir"/uploads-* >"$fleet_dir/uploads"
echo "uploads: $(wc -l <"$fleet_dir/uploads"), by exit code of curl and status:"
cut -d" " -f1,2 "$fleet_dir/uploads" | sort | uniq -c
echo "other requests: $(fleet_load_answers), by status:"
sed -n 's/^load-[^ ]* \([0-9]*\) .*/\1/p' "$fleet_dir/load" | sort | uniq -c
for ((h = 0; h < 3; h++)); do
	expect "host$h lives" yes \
		"$(kill -0 "${fleet_pid[host$h]}" 2>/dev/null && echo yes)"
done
expect "uploads without an answer" "" \
	"$(grep -v -e "^0 [2-5]" -e "^$curl_refused " "$fleet_dir/uploads" | head -n 5)"
expect "other requests without an answer" "" \
	"$(grep '^load-[^ ]* failed' "$fleet_dir/load" | head -n 5)"
fleet_finish
