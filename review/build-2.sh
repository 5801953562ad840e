#!/bin/sh
# Builds the stand-ins and checks of the second review's scripts (cases 6 to 10), with the standard
# library only. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/tool-2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review2 .
