#!/usr/bin/env bash
# Plays the days that are due before a landing with changed behaviour, on the users' bench:
# 8 of each deployment in force of 60 machines or more, 40 of each smaller one. A large day
# takes minutes and hundreds of processes, so two are played at a time.
#
#	_scripts/hunts.sh BENCH SITES WHY
#
# BENCH is the bench's program, SITES the folder with the site files, WHY the line for the
# journal.
set -eu
if [ $# -ne 3 ]; then
	echo "usage: $0 BENCH SITES WHY" >&2
	exit 2
fi
bench=$1 sites=$2 why=$3
for site in sites/caroni-packs sites/owa-gateway; do
	"$bench" hunt "$sites/$site.toml" --days 40 --jobs 4 --why "$why"
done
for site in demands/kelani-dispatch-grown demands/fraserline-edge-grown \
	grown/caroni-packs-grown grown/owa-gateway-grown large/caroni-packs-large; do
	"$bench" hunt "$sites/$site.toml" --days 8 --jobs 2 --why "$why"
done
