#!/usr/bin/env bash
# Crowds at all nodes send bodies that meet at the host of the only backend server.
# Guards against a node that counts the bodies of its own callers, but not those
# of other nodes, and one that holds each body several times.
build=$1
. src/test_e2e/crowd.sh

crowd_nodes=3
crowd_backends=1

# See test_crowd_bodies.sh for the bound.
fleet_flags="--freshness-ms 10000 --body-memory-mb 32"
crowd_callers=200
crowd_run_at "0 1 2" "32 MB, complete bodies of 1 MiB" 96 \
	--body-bytes 1048576 --short-percent 0

# The smallest machines have 160 MB, of which their nodes use 48 MB for bodies.
fleet_flags="--freshness-ms 10000 --body-memory-mb 48"
fleet_max_body_bytes=67108864
crowd_callers=30
crowd_run_at "0 1 2" "48 MB, complete bodies of 15 MiB" 160 \
	--body-bytes 15728640 --short-percent 0
crowd_run_at "0 1 2" "48 MB, half of the bodies of 15 MiB stop short" 160 \
	--body-bytes 15728640 --short-percent 15
crowd_callers=10
crowd_run_at "0 1 2" "48 MB, complete bodies of 60 MiB" 160 \
	--body-bytes 62914560 --short-percent 0
crowd_run_at "0 1 2" "48 MB, half of the bodies of 60 MiB stop short" 160 \
	--body-bytes 62914560 --short-percent 5
fleet_finish
