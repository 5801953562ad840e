#!/usr/bin/env bash
# Runs the tests of the given modules with the race detector. Tests listed in
# KNOWN-RED.txt are skipped, and the list is printed.
set -u -o pipefail
# Far above what the tests take, so that the verdict does not depend on the machine.
timeout=60m
# The package whose tests run whole fleets. Its tests are spread over processes, since the race
# detector keeps memory for what has ended until its process ends.
fleets=trial
processes=40
atOnce=5
top=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
skip=""
if [ -s "$top/KNOWN-RED.txt" ]; then
	echo "skipped tests, from KNOWN-RED.txt:"
	cat "$top/KNOWN-RED.txt"
	skip=$(sed -n 's/^test: *//p' "$top/KNOWN-RED.txt" | paste -sd'|' -)
fi

# run_part PATTERN: runs the fleets' tests that match, and prints their output if one fails.
run_part() {
	local out status
	out=$("$scratch/$fleets.test" -test.count=1 -test.parallel 2 -test.timeout "$timeout" -test.run "$1" ${skip:+-test.skip "$skip"} 2>&1)
	status=$?
	if [ $status -ne 0 ]; then
		echo "$out"
		echo "FAIL $fleets $1"
	else
		echo "ok   $fleets $1"
	fi
	return $status
}
export -f run_part
export scratch timeout fleets skip

# run_fleets: runs the tests of the package of fleets, a part of them in each process.
run_fleets() {
	go test -race -c -o "$scratch/$fleets.test" "./$fleets" || return 1
	cd "$fleets" || return 1
	"$scratch/$fleets.test" -test.list . |
		awk -v n=$processes '{ part[NR % n] = part[NR % n] (part[NR % n] ? "|" : "") $0 } END { for (i in part) print "^(" part[i] ")$" }' |
		xargs -P "$atOnce" -I{} bash -c 'run_part "$1"' _ {}
}

status=0
for m in "$@"; do
	packages=$(cd "$top/$m" && go list ./... | grep -v "/$fleets\$") || status=1
	(cd "$top/$m" && go test -race -count=1 -parallel 3 -timeout "$timeout" ${skip:+-skip "$skip"} $packages) || status=1
	if [ -d "$top/$m/$fleets" ]; then
		(cd "$top/$m" && run_fleets) || status=1
	fi
done
exit $status
