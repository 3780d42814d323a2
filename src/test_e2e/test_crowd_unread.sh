#!/usr/bin/env bash
# Crowds send bodies far over the limit, announced or not, or to no route, and
# never read the refusal. Guards against memory and descriptors of refused
# requests that stay because their callers do.
build=$1
. src/test_e2e/crowd.sh

# See test_crowd_bodies.sh for the bound.
fleet_flags="--freshness-ms 10000 --body-memory-mb 32"
crowd_callers=200
crowd_run_at "0 1" "announced" 96 --body-bytes 8388608 \
	--announce-bytes 2147483647 --no-read
crowd_run_at "0 1" "announced, heads" 96 --body-bytes 8388608 \
	--announce-bytes 2147483647 --stop-after 0 --no-read
crowd_run_at "0 1" "in chunks" 96 --body-bytes 8388608 --chunk-bytes 16384 \
	--no-read
crowd_run_at "0 1" "no route" 96 --body-bytes 8388608 --path /nowhere --no-read
crowd_run_at "0 1" "callers that leave and return" 96 --body-bytes 8388608 \
	--announce-bytes 2147483647 --no-read --patience-ms 500
fleet_finish
