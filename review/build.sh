#!/bin/sh
# Builds the stand-ins of the review's scripts. It needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOFLAGS= go build -o ../../target/review/standin .
