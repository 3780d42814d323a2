#!/usr/bin/env bash
# Crowds send much in chunks of 1 to 16 bytes. Guards against memory that is taken
# for each chunk and not for each byte.
build=$1
. src/test_e2e/crowd.sh

# See test_crowd_meets.sh for the bounds.
fleet_flags="--freshness-ms 10000 --body-memory-mb 32"
crowd_callers=50
crowd_run_at "0 1" "32 MB, 1 MiB in chunks of 1 byte" 96 \
	--body-bytes 1048576 --chunk-bytes 1
crowd_run_at "0 1" "32 MB, 1 MiB in chunks of 1 byte, complete" 96 \
	--body-bytes 1048576 --chunk-bytes 1 --short-percent 0
fleet_flags="--freshness-ms 10000 --body-memory-mb 48"
fleet_max_body_bytes=67108864
crowd_callers=20
crowd_run_at "0 1" "48 MB, 15 MiB in chunks of 16 bytes" 160 \
	--body-bytes 15728640 --chunk-bytes 16
crowd_run_at "0 1" "48 MB, 15 MiB in chunks of 7 bytes, complete" 160 \
	--body-bytes 15728640 --chunk-bytes 7 --short-percent 0
fleet_finish
