#!/usr/bin/env bash
# Hundreds of callers send chunked bodies of legal size in large or very small
# chunks, and most stop one byte short and stay connected. Guards against memory
# that is not counted because no length is announced, such as the spare capacity
# of buffers, and a node that refuses ordinary bookings while they stay.
build=$1
. src/test_e2e/crowd.sh

crowd_run "default limit, chunks of 64 KB" 250 --body-bytes 1048576 \
	--chunk-bytes 65536

# See test_crowd_bodies.sh for the bound.
fleet_flags="--body-memory-mb 32"
crowd_run "32 MB, chunks of 64 KB" 96 --body-bytes 1048576 \
	--chunk-bytes 65536
crowd_run "32 MB, chunks of 8 bytes" 96 --body-bytes 1048576 --chunk-bytes 8
fleet_finish
