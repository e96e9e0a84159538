# make slopes prints the table of docs/CAPACITY.md; make test runs the README's tests.
.PHONY: slopes test check

slopes:
	go test -run xxx -bench Slopes -benchtime 1x -timeout 5m ./internal/bench

test:
	go test ./...

check:
	.ci/run
