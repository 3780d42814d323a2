#!/usr/bin/env bash
# Crowds get large answers and do not read them. Guards against a node that takes
# memory for all answers that wait for their callers.
build=$1
. src/test_e2e/crowd.sh

# See test_crowd_meets.sh for the bounds.
fleet_flags="--freshness-ms 10000 --body-memory-mb 32"
crowd_callers=200
crowd_run_at "0 1" "32 MB, answers of 1 MB" 96 --body-bytes 1 \
	--short-percent 0 --path "/orders?padding=1000000" --hold-answer
fleet_flags="--freshness-ms 10000 --body-memory-mb 48"
fleet_max_body_bytes=67108864
crowd_callers=40
crowd_run_at "0 1" "48 MB, answers of 15 MiB" 160 --body-bytes 1 \
	--short-percent 0 --path "/orders?padding=15728640" --hold-answer
crowd_run_at "0 1" "48 MB, answers of 15 MiB, nothing is read" 160 \
	--body-bytes 1 --short-percent 0 --path "/orders?padding=15728640" \
	--no-read --patience-ms 3000
crowd_nodes=3
crowd_backends=1
crowd_run_at "0 1 2" "48 MB, answers of 15 MiB of one backend server" 160 \
	--body-bytes 1 --short-percent 0 --path "/orders?padding=15728640" \
	--hold-answer
fleet_finish
