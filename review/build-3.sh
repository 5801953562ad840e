#!/usr/bin/env bash
# Builds the tool that plays the scripts of the third review, with all of its stand-ins. It needs no
# network and no package beside Go's own.
set -eu
cd "$(dirname "$0")/tool-3"
mkdir -p ../../target/review-3
GOWORK=off go build -o ../../target/review-3/tool-3 .
