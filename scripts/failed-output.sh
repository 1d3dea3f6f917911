#!/usr/bin/env bash
# Prints the last lines of output of each failed test in a `go test -json` log.
# Usage: failed-output.sh LOG [LINES]
set -euo pipefail
log=$1
lines=${2:-200}
test_of() { sed -n 's/.*"Package":"\([^"]*\)".*"Test":"\([^"]*\)".*/\1 \2/p'; }
grep '"Action":"fail"' "$log" | test_of | sort -u | while read -r package test; do
	echo "--- output of $package $test, last $lines lines"
	grep -F "\"Package\":\"$package\",\"Test\":\"$test\",\"Output\":" "$log" |
		tail -n "$lines" |
		sed 's/^.*"Output":"//; s/"}$//; s/\\n$//; s/\\t/\t/g; s/\\u003e/>/g; s/\\u003c/</g; s/\\u0026/\&/g; s/\\"/"/g'
done
