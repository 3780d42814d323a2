#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml)
case_program=build/review-2/case_$(basename "$here")
[ -x "$case_program" ] && [ -x "${command%% *}" ] || exit 2
timeout -k 1 118 "$case_program" "$here" "$command"
result=$?
[ $result -le 1 ] && exit $result
exit 2
