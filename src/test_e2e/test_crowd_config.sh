#!/usr/bin/env bash
# Crowds send bodies while the configuration changes twice a second: the route
# moves, a key is withdrawn, the limits on bodies and rates are lowered, so that
# requests are refused between their head and the end of their body. Guards
# against memory and connections of such requests that are never released.
build=$1
. src/test_e2e/crowd.sh

crowd_versions=16

crowd_change_config() {
	local v original_hash=$fleet_hash_two
	for ((v = 2; v < 2 + crowd_versions; v++)); do
		local fleet_hash_two=$original_hash fleet_book_prefix=/orders
		local fleet_max_body_bytes=1048576 fleet_rate=1000
		local fleet_burst=1000
		case $((v % 5)) in
		1) fleet_book_prefix=/moved ;;
		2) fleet_hash_two= ;;
		3) fleet_max_body_bytes=65536 ;;
		4) fleet_rate=1 fleet_burst=1 ;;
		esac
		fleet_config "$v"
		sleep 0.5
	done
	fleet_hash_two=$original_hash
	fleet_book_prefix=/orders
	fleet_max_body_bytes=1048576
	fleet_rate=1000
	fleet_burst=1000
	fleet_publish "$v"
}
crowd_meanwhile=crowd_change_config

# See test_crowd_bodies.sh for the bound.
fleet_flags="--freshness-ms 10000 --body-memory-mb 32"
crowd_callers=200
crowd_run_at "0 1" "piece by piece, stop short" 96 --body-bytes 1048576 \
	--piece-bytes 16384 --piece-ms 20
crowd_run_at "0 1" "piece by piece, complete" 96 --body-bytes 1048576 \
	--piece-bytes 16384 --piece-ms 20 --short-percent 0
crowd_run_at "0 1" "in chunks, complete" 96 --body-bytes 1048576 \
	--chunk-bytes 4096 --piece-bytes 16384 --piece-ms 20 --short-percent 0
fleet_finish
