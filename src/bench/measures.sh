#!/usr/bin/env bash
# Prints the main measures in one table with the baselines of the same runs:
# detection and false ejections, the worst-served client account, and refusals
# inside the rate. Takes about five minutes on six idle cores. All programs run
# on a simulated clock with fixed seeds, so that a second run prints the same
# figures.
#
# usage: measures.sh BUILD
build=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
pids=()

run() { # file, program, arguments
	local file=$1
	shift
	"$build/$1" "${@:2}" >"$dir/$file" &
	pids+=($!)
}

pools="5 10 15 25"
for nr in $pools; do
	run "health$nr" bench_health "$nr"
done
run queue bench_queue
run limit bench_limit 3
for pid in "${pids[@]}"; do
	wait "$pid" || exit 1
done

# detection PATTERN: prints median and worst detection time in seconds, by pool
# size and rate, of the faults that match the pattern.
detection() {
	cat "$dir"/health* | awk -F'|' -v fault="$1" '
		/^Wrong/ { in_section = 1 } /^Detection/ { in_section = 0 }
		!in_section && $4 ~ fault {
			printf "| detection, s, median / worst:%spool of%sat%s" \
			       "requests/s | %s | consecutive:%s; outlier:%s |\n",
			       $4, $2, $3, $5, $6, $7 }'
}

# Prints the sums over all pool sizes and rates.
wrong_ejections() {
	cat "$dir"/health* | awk -F'|' '
		/^Detection/ { in_section = 0 } /^Wrong/ { in_section = 1 }
		in_section && NF == 8 && $4 !~ /condition|---/ {
			if (!($4 in ours))
				order[++n] = $4
			ours[$4] += $5; consecutive[$4] += $6
			outlier[$4] += $7 }
		END { for (i = 1; i <= n; i++)
			printf "| false ejections:%s| %d | consecutive: %d;" \
			       " outlier: %d |\n", order[i], ours[order[i]],
			       consecutive[order[i]], outlier[order[i]] }'
}

worst_served() {
	awk -F'|' '
		/^Account 0 sends/ { in_section = 1; next }
		in_section && /^[A-Z]/ { exit }
		in_section && NF == 9 && $2 !~ /case|---/ {
			if ($2 ~ /fair queue/) {
				nr = $3; ours = $4; p99 = $5; refused = $6
				next
			}
			others[nr] = others[nr] sprintf("%s:%s, p99%s,"\
				" refused%s; ", $2, $4, $5, $6)
			if ($2 ~ /no queue/)
				printf "| worst-served client account, one other" \
				       " at 5 times its rate,%sbackend servers:" \
				       " success %%, p99 ms, refused inside the" \
				       " rate %% |%s; p99%s; refused%s| %s|\n",
				       nr, ours, p99, refused, others[nr] }' \
		"$dir/queue"
}

# Prints the greatest share over three seeds.
wrongful_refusals() {
	awk '/ wrongful / {
		match($0, /\(([0-9.]+)%\)/)
		share = substr($0, RSTART + 1, RLENGTH - 3) + 0
		if (!($2 in seen)) { seen[$2] = 1; order[++n] = $2 }
		if (share > greatest[$1, $2]) greatest[$1, $2] = share }
	END { for (i = 1; i <= n; i++)
		printf "| refused by the limit inside the rate, %s | %.2f%% |" \
		       " even split: %.2f%%; one owner: %.2f%% |\n", order[i],
		       greatest["leased", order[i]], greatest["even-split", order[i]],
		       greatest["owner", order[i]] }' "$dir/limit"
}

echo "| measure | ours | baselines in the same run |"
echo "| --- | --- | --- |"
detection 'slow x5|dead'
wrong_ejections
worst_served
wrongful_refusals
