#!/usr/bin/env bash
# A key is withdrawn while a connection of its caller is open. Guards against a
# key that is checked only for the first request of a connection.
build=$1
. src/test_e2e/fleet.sh

# exchange KEY: sends a request on file descriptor 3, reads the response and
# prints its status.
exchange() {
	local line status length=0
	printf 'GET /profiles/7 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n' \
		"$1" >&3
	read -r -t 20 _ status _ <&3
	while read -r -t 20 line <&3 && line=${line%$'\r'} && [ -n "$line" ]; do
		case "${line,,}" in
		content-length:*) length=${line#*: } ;;
		esac
	done
	read -r -t 20 -N "$length" _ <&3
	echo "$status"
}

fleet_start 3 3 || exit 1
exec 3<>"/dev/tcp/$fleet_address/$(fleet_port 0)"
expect "key before it is withdrawn" 200 "$(exchange key-one)"
expect "again on the same connection" 200 "$(exchange key-one)"
fleet_hash_one=$(fleet_key_hash key-new)
fleet_publish 2
expect "withdrawn key on the same connection" 401 "$(exchange key-one)"
exec 3>&-
for h in 0 1 2; do
	expect "new key at host$h" "200 ran" \
		"$(fleet_key=key-new fleet_call $h GET /profiles/7 "new-$h")"
	expect "withdrawn key at host$h" "401 not-run" \
		"$(fleet_call $h GET /profiles/7 "old-$h")"
	expect "no request with the withdrawn key ran" 0 "$(fleet_executions "old-$h")"
done
fleet_finish
