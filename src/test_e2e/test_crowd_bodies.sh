#!/usr/bin/env bash
# Hundreds of callers send bodies of legal size, whole or piece by piece, and most
# stop one byte short and stay connected. Guards against a node that takes memory
# for all of them, and one that refuses ordinary bookings while they stay.
build=$1
. src/test_e2e/crowd.sh

# Without a limit, 400 bodies of 1 MB took a node to 435 MB.
crowd_run "default limit, whole bodies" 250 --body-bytes 1048576

# The limit, 16 MB for the node itself, 32 KB for each connection and as much
# again as the allocator keeps.
fleet_flags="--body-memory-mb 32"
crowd_run "32 MB, whole bodies" 96 --body-bytes 1048576
crowd_run "32 MB, piece by piece" 96 --body-bytes 1048576 \
	--piece-bytes 16384 --piece-ms 20
fleet_finish
