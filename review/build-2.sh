#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The project's program is built by the command in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2 ./review/standins2
