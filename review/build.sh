#!/bin/bash
# Builds the programs of the cases and what they share into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.c; do
	[ -e "$source" ] || continue
	n=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -O2 -Wall -Wextra -pthread -o "target/review/case-$n" \
		"$source" review/rig.c
done
