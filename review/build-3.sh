#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -e
cd "$(dirname "$0")/standins3"
GOWORK=off GOPROXY=off go build -tags review3 -o ../../target/standins3 .
