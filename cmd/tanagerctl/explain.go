package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/explain"
	"tanagerbarrow/operator"
)

// explainCommand prints a request's timeline from log files. It calls no server.
func explainCommand(app *kingpin.Application) command {
	c := app.Command("explain", "Tell from the logs of several processes what happened to a request.")
	id := c.Arg("request", "Identifier of the request.").Required().String()
	files := c.Arg("log", "Log files; - or none for standard input.").Strings()
	return command{clause: c, run: func(*options, *operator.Client) {
		r := explain.NewReader(*id)
		if len(*files) == 0 {
			*files = []string{"-"}
		}
		for _, name := range *files {
			exitOn(readLog(r, name))
		}
		story := r.Timeline()
		if len(story) == 0 {
			exitOn(errors.Newf("no log line names request %q; lines about successes are sampled", *id))
		}
		for _, line := range story {
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
