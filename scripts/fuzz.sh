#!/usr/bin/env bash
# Runs each fuzz test below the given folders (default: all) for a short time, from its seeds and the corpus in testdata/fuzz.
# FUZZTIME sets the duration of each test. Minimization has a limit of its own, because FUZZTIME does not include it.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
grep -rl --include='*_test.go' '^func Fuzz' "${@:-.}" | sort | while read -r file; do
	folder=./$(dirname "$file")
	for name in $(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' "$file"); do
		echo "$name in $folder"
		go test "$folder" -run '^$' -fuzz "^$name\$" -fuzztime "${FUZZTIME:-2s}" -fuzzminimizetime 10x -parallel 2 \
			>"$log" 2>&1 </dev/null || { cat "$log"; exit 1; }
	done
done
