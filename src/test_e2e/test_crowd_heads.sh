#!/usr/bin/env bash
# Very many callers send a head, complete or not, and nothing more. Guards against
# a node that takes memory for what is announced, and one that accepts no
# ordinary callers after they have gone.
build=$1
. src/test_e2e/crowd.sh

# See test_crowd_meets.sh for the bound.
fleet_flags="--freshness-ms 10000 --body-memory-mb 48"
fleet_max_body_bytes=67108864
crowd_callers=1900
crowd_run_at "0" "complete heads" 160 --body-bytes 1048576 --stop-after 0 \
	--announce-bytes 67108864 --short-percent 100
crowd_run_at "0" "complete heads, chunked" 160 --body-bytes 1048576 \
	--stop-after 0 --chunk-bytes 4096 --short-percent 100
crowd_run_at "0" "heads that stop short" 160 --body-bytes 0 --short-percent 100
# More than the node accepts.
crowd_callers=3900
crowd_run_at "0" "over the limit on connections" 160 --body-bytes 1048576 \
	--stop-after 0 --short-percent 100
fleet_finish
