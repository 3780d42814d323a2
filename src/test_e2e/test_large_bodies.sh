#!/usr/bin/env bash
# Bodies between 16 MiB and the limit of their route are served at the host of the
# backend server and at another one. Guards against a node that admits a body and
# cannot pass it on, which callers saw as 504 peer-silent.
build=$1
. src/test_e2e/crowd.sh

fleet_max_body_bytes=67108864
fleet_start 2 1 || exit 1
for bytes in 16777216 17000000 33000000 60000000 67108864; do
	head -c "$bytes" /dev/urandom >"$fleet_dir/large"
	for h in 0 1; do
		expect "$bytes bytes at host$h" "200 ran" \
			"$(fleet_call $h POST /orders "large-$h-$bytes" \
				--data-binary "@$fleet_dir/large")"
		expect "$bytes bytes at host$h arrived" "\"bytes\":$bytes" \
			"$(grep -o '"bytes":[0-9]*' "$fleet_dir/body")"
		expect "$bytes bytes at host$h ran once" 1 \
			"$(fleet_executions "large-$h-$bytes")"
		grep -o '"body_checksum":"[0-9a-f]*"' "$fleet_dir/body" \
			>"$fleet_dir/sum$h"
	done
	expect "$bytes bytes are the same from both hosts" \
		"$(cat "$fleet_dir/sum0")" "$(cat "$fleet_dir/sum1")"
done
head -c 67108865 /dev/zero >"$fleet_dir/large"
expect "a body over the limit" "413 not-run" \
	"$(fleet_call 1 POST /orders over --data-binary "@$fleet_dir/large")"
expect "a booking after it" "200 ran" \
	"$(fleet_call 1 POST /orders after --data-binary x=1)"
fleet_finish
