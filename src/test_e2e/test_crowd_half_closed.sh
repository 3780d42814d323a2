#!/usr/bin/env bash
# Crowds close their sending direction after a complete body, after one that
# stops short or after the head, and leave some time later. Guards against
# descriptors and memory of connections whose callers have gone.
build=$1
. src/test_e2e/crowd.sh

# See test_crowd_bodies.sh for the bound.
fleet_flags="--freshness-ms 10000 --body-memory-mb 32"
flags="--half-close --patience-ms 1500"
crowd_callers=200
# shellcheck disable=SC2086
{
	crowd_run_at "0 1" "bodies that stop short" 96 $flags \
		--body-bytes 1048576
	crowd_run_at "0 1" "complete bodies" 96 $flags \
		--body-bytes 1048576 --short-percent 0
	crowd_run_at "0 1" "heads" 96 $flags --body-bytes 1048576 \
		--stop-after 0
	crowd_run_at "0 1" "no route, complete bodies" 96 $flags \
		--body-bytes 900000 --short-percent 0 --path /nowhere
	crowd_run_at "0 1" "chunks that stop short" 96 $flags \
		--body-bytes 1048576 --chunk-bytes 4096
}
fleet_finish
