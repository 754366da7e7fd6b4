#!/bin/sh
# Plays the case drain-retry; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/standins3 drain-retry review/12
