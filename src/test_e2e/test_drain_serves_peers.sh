#!/usr/bin/env bash
# A node gets SIGTERM while a caller holds a connection to it open. Guards
# against a backend server that gets no request from the signal until the node
# beside it has started again, although the node runs on for its caller, and
# against a request after it that is answered 504, as if it might have run.
build=$1
. src/test_e2e/fleet.sh

fleet_start 3 1 || exit 1
expect "request through host1" "200 ran" "$(fleet_call 1 POST /orders before -d x=1)"
exec {caller}<>"/dev/tcp/$fleet_address/$(fleet_port 0)"
printf 'GET /profiles/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-one\r\n\r\n' >&"$caller"
read -r -t 5 status <&"$caller"
expect "request of the caller" "HTTP/1.1 200 OK" "${status%$'\r'}"
kill -TERM "${fleet_pid[host0]}"
sleep 0.2
for ((i = 0; i < 5; i++)); do
	expect "request $i while host0 drains" "200 ran" \
		"$(fleet_call 1 POST /orders "while-$i" -d x=1)"
done
sleep 1.2
expect "request after host0 said that it stops" "503 not-run" \
	"$(fleet_call 1 POST /orders after -d x=1)"
wait "${fleet_pid[host0]}"
expect "exit code" 0 $?
expect "request after host0 has ended" "503 not-run" \
	"$(fleet_call 1 POST /orders ended -d x=1)"
exec {caller}>&-
fleet_finish
