#!/usr/bin/env bash
# Guards against an answer whose header is over a limit of messages between nodes
# and that is dropped: its caller waited for the end of the timeout and was told that
# the node beside the backend server was silent.
build=$1
. src/test_e2e/fleet.sh

fleet_start 2 1 || exit 1
expect "header of 16 KiB" "200 ran" \
	"$(fleet_call 1 POST "/orders?header=16384" fits -d x=1)"
expect "header of 20 KB" "502 ran" \
	"$(fleet_call 1 POST "/orders?header=20000" over -d x=1)"
expect "its reason" 1 "$(grep -c backend-server-failed "$fleet_dir/body")"
expect "it ran once" 1 "$(fleet_executions over)"
expect "no path has failed" 0 "$(grep -c peer-silent "$fleet_dir/host1.log")"
fleet_finish
