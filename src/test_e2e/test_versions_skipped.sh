#!/usr/bin/env bash
# Nodes skip versions that change accounts and weights, as happens after an
# outage of the configuration service or when versions follow each other
# quickly. Guards against lenders that do not know that the host list is
# unchanged: they would stop lending for the freshness bound plus the lease
# term, and requests within their rate would be refused.
build=$1
fleet_service=1
fleet_timeout_ms=10000
. src/test_e2e/fleet.sh

fleet_start 3 3 || exit 1
fleet_start_load
fleet_wait_load "load before the versions" 400
fleet_serve_unchanged=1
for v in 2 3 4; do
	fleet_rate=$((1000 + v))
	fleet_weight=$v
	fleet_config $v
done
fleet_serve_unchanged=
fleet_publish 5
# Leases granted before the new versions expire after 4 s.
fleet_wait_load "load after the versions" 2000
fleet_stop_load
for h in 0 1 2; do
	expect "versions 2 to 4 in force at host$h" 0 \
		"$(grep -c "version [234] is in force" "$fleet_dir/host$h.log")"
done
for h in 0 1 2; do
	expect "pauses of lending at host$h" 0 \
		"$(grep -c "skips host lists" "$fleet_dir/host$h.log")"
done
fleet_finish
