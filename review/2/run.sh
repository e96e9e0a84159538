#!/bin/sh
# A primary with sync-replicas 1 crashes while one replica drains and the other one lags; checks the
# rule LOST. With TROUBLE=0 nothing happens to the members. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standins sync target/stackspindle review/2/record.txt
