package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/explain"
	"tanagerbarrow/operator"
)

// explainCommand declares the command that prints a request's timeline from log files.
// It calls no server.
func explainCommand(app *kingpin.Application) command {
	c := app.Command("explain", "Show what happened to a request, from the logs of several processes.")
	id := c.Arg("request", "Identifier of the request.").Required().String()
	files := c.Arg("log", "Log files; - or none for standard input.").Strings()
	return command{clause: c, run: func(*options, *operator.Client) {
		r := explain.NewReader(*id)
		if len(*files) == 0 {
			*files = []string{"-"}
		}
		for _, name := range *files {
			exitOnError(readLog(r, name))
		}
		timeline := r.Timeline()
		if len(timeline) == 0 {
			exitOnError(errors.Newf("no log line contains request %q; only a sample of the successful requests is logged", *id))
		}
		for _, line := range timeline {
			fmt.Println(line)
		}
	}}
}

// readLog reads one log file, or standard input for "-".
func readLog(r *explain.Reader, name string) error {
	if name == "-" {
		return r.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(r.Read(f), name)
}
