#!/usr/bin/env bash
# fault_judge reads logs of fault runs that break one invariant each. Guards
# against a violation that it does not report.
build=$1
. src/test_e2e/fleet.sh

# Writes the logs of a run without a violation: a booking, a repeated key, a
# lookup that failed, one that was refused, and executions up to the limit of
# 2/s, burst 3.
write_valid_run() {
	rm -f "$fleet_dir"/{events,load.*,order*.log}
	cat >"$fleet_dir/events" <<-EVENTS
		1000000 withdraw mill begin
		1000000 leave order1 begin
		2000000 stop host1 begin
		2500000 stop host1 end 0
		20000000 withdraw mill end
		20000000 leave order1 end
	EVENTS
	cat >"$fleet_dir/load.mill" <<-LOAD
		mill-b-1 200 ran 1000 100 0 ok
		mill-k-2.0 failed: Timeout was reached 1000 100 1 -
		mill-k-2.1 200 ran 1000 1200 0 ok
		mill-l-3 failed: Failure when receiving data 1000 100 1 -
		mill-l-7 failed: Couldn't connect to server 1000 2100000 1 -
		mill-l-4 503 not-run 1000 100 0 -
		mill-b-5 504 may-have-run 1000 100 0 -
		mill-l-6 200 ran 1000 500000 0 ok
	LOAD
	cat >"$fleet_dir/order0.log" <<-EXECUTIONS
		order0 200 mill-b-1
		order0 300 mill-k-2.0
		order0 400 mill-b-5
		order0 500200 mill-l-6
	EXECUTIONS
	echo "order1 300 wait" >"$fleet_dir/order1.log"
}

# judge_result: prints the exit code of fault_judge and the first violation.
judge_result() {
	local out code
	out=$("$build/fault_judge" "$fleet_dir" mill:2:3)
	code=$?
	echo "$code$(sed -n 's/^VIOLATION: / /p' <<<"$out" | head -n 1)"
}

# violation_case FILE LINE VIOLATION: adds the line to a valid run and expects
# that fault_judge reports the violation.
violation_case() {
	write_valid_run
	echo "$2" >>"$fleet_dir/$1"
	expect "$3" "1 $3" "$(judge_result)"
}

write_valid_run
expect "a run without a violation" 0 "$(judge_result)"
violation_case order1.log "order1 5000000 mill-b-1" \
	"a booking ran twice: mill-b-1"
violation_case order1.log "order1 5000000 mill-k-2.1" \
	"an idempotency key ran twice: mill-k-2"
violation_case order1.log "order1 5000000 mill-l-4" \
	"\"not-run\" but it ran: mill-l-4"
violation_case load.mill "mill-b-7 200 ran 1000 100 0 ok" \
	"\"ran\" but it did not run: mill-b-7"
violation_case load.mill "mill-b-5 200 ran 1000 100 0 wrong" \
	"answer to another request: mill-b-5"
violation_case load.mill "mill-b-5 200 - 1000 100 0 ok" \
	"answer without a verdict: mill-b-5"
violation_case load.mill \
	"mill-l-8 failed: Failure when receiving data 1000 2100000 1 -" \
	"cut by a planned stop: mill-l-8: host1"
violation_case order0.log "order0 11000001 mill-l-9" \
	"ran with a withdrawn key: mill-l-9: order0"
violation_case order1.log "order1 11000001 yard-l-9" \
	"ran on a leaving backend: yard-l-9: order1"
violation_case order0.log "order0 600 mill-l-10" \
	"rate exceeded in a window that begins with: mill-b-1: 1.0 executions over the limit"
write_valid_run
echo "broken line" >>"$fleet_dir/load.mill"
expect "logs that cannot be read" 2 "$(judge_result 2>/dev/null)"
fleet_finish
