package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/stackspindle/stackspindle/internal/explain"
)

func explainRequestCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-request",
		Usage:     "tell from logs what became of a request, and what was believed then",
		ArgsUsage: "ID [FILE...] (standard input without a file)",
		Action: func(_ context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if len(args) == 0 {
				return errors.New("explain-request: the request's id must be given")
			}
			lines, err := readLogs(args[1:], cmd.Root().Reader)
			if err != nil {
				return err
			}
			return explain.Explain(lines, args[0]).Write(cmd.Root().Writer)
		},
	}
}

// readLogs reads the given files, or standard input if there are none.
func readLogs(paths []string, stdin io.Reader) ([]explain.Line, error) {
	if len(paths) == 0 {
		lines, _, err := explain.Read(stdin)
		return lines, err
	}
	var all []explain.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) ([]explain.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("explain-request: %w", err)
	}
	defer f.Close()
	lines, _, err := explain.Read(f)
	if err != nil {
		return nil, fmt.Errorf("explain-request: %s: %w", path, err)
	}
	return lines, nil
}
