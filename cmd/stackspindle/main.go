// Command stackspindle is a database proxy with session consistency.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/stackspindle/stackspindle/internal/command"
)

func main() {
	if err := command.New(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
