#!/usr/bin/env bash
# Table, configuration, key and publish commands of baobabctl. Guards against a
# wrong exit code or message, an invalid document that is accepted, and a key
# that is written to a file.
set -u
ctl=$1/baobabctl
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# expect CODE TEXT COMMAND...: checks the exit code, and that the output
# contains the text.
expect() {
	local code=$1 text=$2 rc output
	shift 2
	output=$("$@" 2>&1)
	rc=$?
	if [ $rc -ne "$code" ] || [[ $output != *"$text"* ]]; then
		echo "FAILED: $*"
		echo "  want $code \"$text\", have $rc \"$output\""
		failed=1
	fi
}

key=$("$ctl" keys new --json | sed -n 's/.*"key": "\(.*\)",*/\1/p')
hash=$(printf '%s\n' "$key" | "$ctl" keys hash)
expect 3 "not one key" "$ctl" keys hash </dev/null

cat >"$dir/base.json" <<END
{"version": 1, "automation": true, "idempotency_window_ms": 1000,
 "hosts": [{"name": "h1", "region": "r", "zone": "z", "address": "127.0.0.1",
  "data_port": 1, "control_port": 2}],
 "services": [{"name": "orders", "floor_percent": 50}]}
END
cat >"$dir/t.csv" <<END
kind,name,weight,rate_per_s,burst,host,service,url,state,slots,max_connections,key_hashes
backend,o1,1,,,h1,orders,http://127.0.0.1:8001,in,5,330,
account,saw,1,10,20,,,,,,,$hash
END
sed 's/,10,20,/,10,0,/' "$dir/t.csv" >"$dir/bad.csv"

expect 2 "Usage" "$ctl"
expect 2 "Usage" "$ctl" table frobnicate
expect 0 "Exit codes" "$ctl" --help
expect 2 "1 arguments are needed" "$ctl" table check
expect 3 "--base" "$ctl" table check "$dir/t.csv"
expect 4 "No such file" "$ctl" table check "$dir/none.csv" -b "$dir/base.json"
expect 0 "1 client accounts, 1 backend servers" \
	"$ctl" table check "$dir/t.csv" -b "$dir/base.json"
expect 3 "bad.csv row 3 (name \"saw\"), column burst: 0 is not between 1" \
	"$ctl" table check "$dir/bad.csv" -b "$dir/base.json"
expect 3 '"code": "invalid"' \
	"$ctl" table check --json "$dir/bad.csv" -b "$dir/base.json"
expect 0 "valid" "$ctl" table build "$dir/t.csv" -b "$dir/base.json" \
	-o "$dir/two.json"
expect 1 '+ accounts "saw"' "$ctl" table diff "$dir/base.json" "$dir/two.json"
expect 1 '"row": "saw"' \
	"$ctl" table diff --json "$dir/base.json" "$dir/two.json"
"$ctl" table export "$dir/two.json" -o "$dir/again.csv"
expect 0 "" "$ctl" table diff "$dir/t.csv" "$dir/again.csv" \
	-b "$dir/base.json"
expect 0 "client accounts:       1" "$ctl" config show "$dir/two.json"

public=$("$ctl" signing-key new "$dir/key")
expect 4 "File exists" "$ctl" signing-key new "$dir/key"
[ "$(stat -c %a "$dir/key")" = 600 ] || { echo "FAILED: mode of the key file is not 600"; failed=1; }
mkdir "$dir/pages"
expect 0 "published version 1" "$ctl" publish "$dir/base.json" \
	-d "$dir/pages" -k "$dir/key"
expect 0 "published version 2" "$ctl" publish "$dir/two.json" \
	-d "$dir/pages" -k "$dir/key"
expect 3 "not greater than the present version 2" \
	"$ctl" publish "$dir/base.json" -d "$dir/pages" -k "$dir/key"
expect 0 '"version":2' "$ctl" config show --json "$dir/pages" \
	--public-key "$public"
# Guards against lenders that cannot see from the document that a new version
# kept the host list.
expect 0 '"hosts_version":1,' "$ctl" config show --json "$dir/two.json"
expect 0 '"hosts_version":1,' "$ctl" config show --json "$dir/pages" \
	--public-key "$public"
# Guards against a document made from an old copy, which would undo a change of
# the host list.
sed -e 's/"version": 1/"version": 3/' -e 's/"hosts": \[/&{"name": "h2",\
  "region": "r", "zone": "z", "address": "127.0.0.1", "data_port": 3,\
  "control_port": 4},/' "$dir/base.json" >"$dir/three.json"
mkdir "$dir/other"
cp "$dir"/pages/* "$dir/other"
expect 0 "published version 3" "$ctl" publish "$dir/three.json" \
	-d "$dir/other" -k "$dir/key"
expect 0 '"hosts_version":3,"hosts_version_before":1' \
	"$ctl" config show --json "$dir/other" --public-key "$public"
"$ctl" table build "$dir/t.csv" -b "$dir/two.json" --set-version 4 \
	-o "$dir/four.json"
expect 3 "made from a copy of before version 3" \
	"$ctl" publish "$dir/four.json" -d "$dir/other" -k "$dir/key"
expect 3 "signature does not match" "$ctl" config show "$dir/pages" \
	--public-key "${public//[0-7]/8}"
sed -i 's/"burst":20/"burst":21/' "$dir"/pages/accounts-*
expect 3 "signature does not match" "$ctl" config show "$dir/pages" \
	--public-key "$public"

# Guards against a key that appears anywhere but in the output of keys new.
grep -rqF "$key" "$dir" && { echo "FAILED: a file contains the key"; failed=1; }
exit $failed
