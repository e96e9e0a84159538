package main

import (
	"fmt"
	"os"
)

// scenarios are the scripts, by name. Each returns its exit code.
var scenarios = map[string]func(rec *record, binary string, trouble bool) (int, error){
	"stop": stopInTurn,
	"sync": syncCrash,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins SCENARIO BINARY RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := scenarios[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("could not run: %v", err)
		code = exitNotRun
	}
	rec.printf("exit code %d", code)
	os.Exit(code)
}
