#!/usr/bin/env bash
# Hundreds of callers send bodies far over the limit of the route, which they
# announce or not. Guards against memory that is taken for bodies that will be
# refused, and a node that refuses ordinary bookings while they go on.
build=$1
. src/test_e2e/crowd.sh

crowd_run "default limit, sent in chunks" 250 --body-bytes 8388608 \
	--chunk-bytes 16384 --piece-bytes 16384 --piece-ms 20

# See test_crowd_bodies.sh for the bound.
fleet_flags="--body-memory-mb 32"
crowd_run "32 MB, announced" 96 --body-bytes 2097152 \
	--announce-bytes 1073741824
crowd_run "32 MB, sent in chunks" 96 --body-bytes 8388608 \
	--chunk-bytes 16384 --piece-bytes 16384 --piece-ms 20
fleet_finish
