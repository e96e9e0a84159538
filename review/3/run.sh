#!/bin/sh
# Stops and starts instances in turn while transactions are open there; checks the rule LOST.
# With TROUBLE=0 no instance is stopped. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standins stop target/stackspindle review/3/record.txt
