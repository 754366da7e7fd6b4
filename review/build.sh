#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standins .
