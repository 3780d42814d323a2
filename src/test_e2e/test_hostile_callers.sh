#!/usr/bin/env bash
# Callers violate the protocol, send slowly or send nothing. Guards against a
# node that stops serving other callers, requests that are smuggled or lost, and
# refusals without the matching status.
build=$1
. src/test_e2e/fleet.sh

# send_raw TEXT: sends the text on a new connection and prints the response
# until the node closes the connection. The text is sent in one write: a second
# write after the node has refused the request and closed the connection would
# end the sender before it reads the response.
send_raw() {
	printf '%b' "$1" >"$fleet_dir/raw"
	(
		exec 3<>"/dev/tcp/$fleet_address/$(fleet_port 0)"
		cat "$fleet_dir/raw" >&3
		timeout 25 cat <&3 || echo "connection was not closed"
	) 2>/dev/null | tr -d '\r'
}

# statuses: prints the status codes of the responses on standard input.
statuses() {
	sed -n 's/.*HTTP\/1.1 \([0-9]*\) .*/\1/p' | tr '\n' ' '
}

expect_node_serves() { # what
	expect "node serves after $1" "200 ran" \
		"$(fleet_call 0 GET /profiles/7 "after-$1")"
}

fleet_flags="--idle-timeout-s 3"
fleet_start 2 2 || exit 1
key="Authorization: Bearer key-one"

# 60 connections that send nothing or stop within the headers.
silent=()
for ((i = 0; i < 60; i++)); do
	exec {fd}<>"/dev/tcp/$fleet_address/$(fleet_port 0)"
	((i % 2)) && printf 'GET /profiles/7 HTTP/1.1\r\nHost: x\r\n' >&"$fd"
	silent+=("$fd")
done
expect_node_serves half-open
for fd in "${silent[@]}"; do
	exec {fd}>&-
done

slow="POST /orders HTTP/1.1\r\nHost: x\r\n$key\r\nX-Test-Id: slow\r\n"
expect "incomplete body is not answered with 200" "" \
	"$(send_raw "${slow}Content-Length: 100\r\n\r\n0123456789" | statuses |
		grep 200)"
expect "connection of a slow sender is closed" 0 \
	"$(send_raw "${slow}Content-Length: 100\r\n\r\n0123456789" |
		grep -c "not closed")"
expect "incomplete body did not run" 0 "$(fleet_executions slow)"
expect_node_serves slow-sender

large=$(head -c 40000 /dev/zero | tr '\0' a)
expect "headers of 40 KB" 431 \
	"$(fleet_call 0 GET /profiles/7 large -H "X-Large: $large" | cut -c1-3)"
many=()
for ((i = 0; i < 300; i++)); do
	many+=(-H "X-Many-$i: 1")
done
expect "300 headers" "431 not-run" \
	"$(fleet_call 0 GET /profiles/7 large "${many[@]}")"
expect "target of 9000 bytes" "431 not-run" \
	"$(fleet_call 0 GET "/profiles/${large:0:9000}" large)"
expect "no large request ran" 0 "$(fleet_executions large)"
expect_node_serves large-headers

expect "chunked body over the bound" "413 not-run" \
	"$(head -c 70000 /dev/zero | fleet_call 0 POST /orders chunked \
		-H "Transfer-Encoding: chunked" -H "Expect:" --data-binary @-)"
expect "it did not run" 0 "$(fleet_executions chunked)"
expect_node_serves chunked

both="POST /orders HTTP/1.1\r\nHost: x\r\n$key\r\nX-Test-Id: both\r\n"
both+="Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
smuggled="GET /profiles/7 HTTP/1.1\r\nHost: x\r\n$key\r\nX-Test-Id: both\r\n\r\n"
expect "both Content-Length and Transfer-Encoding" "400 " \
	"$(send_raw "$both$smuggled" | statuses)"
expect "neither part ran" 0 "$(fleet_executions both)"
expect_node_serves both-lengths

expect "bytes that are not HTTP get no status but 400" "" "$(send_raw "\x16\x03\x01garbage\r\n\r\n" | statuses |
	grep -v 400)"
expect "chunk size that is not a number is not answered with 200" 0 "$(send_raw "${slow}Transfer-Encoding: \
chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" | statuses | grep -c 200)"
expect "malformed chunks did not run" 0 "$(fleet_executions slow)"
expect_node_serves garbage

# Pipelining: each request gets its own answer, in order.
text="" wanted=""
for ((i = 0; i < 60; i++)); do
	text+="GET /profiles/7 HTTP/1.1\r\nHost: x\r\n$key\r\nX-Test-Id: pipe-$i\r\n"
	((i == 59)) && text+="Connection: close\r\n"
	text+="\r\n"
	wanted+="pipe-$i "
done
send_raw "$text" >"$fleet_dir/pipelined"
expect "pipelined requests" 60 "$(statuses <"$fleet_dir/pipelined" |
	grep -o 200 | wc -l)"
expect "answers in order" "$wanted" \
	"$(grep -ao 'pipe-[0-9]*' "$fleet_dir/pipelined" | tr '\n' ' ')"
expect_node_serves pipelining
expect "host0 is the same process" yes \
	"$(kill -0 "${fleet_pid[host0]}" && echo yes)"
fleet_finish
