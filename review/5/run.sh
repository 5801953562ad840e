#!/bin/sh
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/laburnumpickd ] || [ ! -x target/review/standin ]; then
	echo "build first: the build line of deploy/system.toml, and review/build.sh" >&2
	exit 2
fi
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
target/review/standin weights target/laburnumpickd "$tmp" "$folder/record.txt"
