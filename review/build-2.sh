#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into build/review-2.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
for source in review/rig-2/case_*.c; do
	gcc -std=gnu11 -O2 -g -Wall -Wextra -o "$out/$(basename "$source" .c)" \
		"$source" review/rig-2/rig2.c -pthread
done
