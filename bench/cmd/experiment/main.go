// Command experiment runs deployments in separate processes on loopback under
// load and faults, and writes a report. It ends by itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/experiment"
)

// maxPhase bounds the length of a phase.
const maxPhase = 5 * time.Minute

// baselineSettings make an entry pick in turn and without limits.
const baselineSettings = "[balance]\npolicy = round-robin\n"

func main() {
	e := experiment.Experiment{Progress: os.Stdout}
	kingpin.CommandLine.Help = "Measure deployments under load and faults."
	kingpin.Flag("binary", "Path of the daemon.").Default("bin/tanagerbarrow").StringVar(&e.Binary)
	kingpin.Flag("phase", "Length of each phase, at most 5m.").Default("1m").DurationVar(&e.PhaseLength)
	kingpin.Flag("seed", "Seed of arrivals.").Default("1").Uint64Var(&e.Seed)
	kingpin.Flag("scale", "Factor on every rate.").Default("1").Float64Var(&e.Scale)
	out := kingpin.Flag("out", "Folder for the report.").Default("bench-report").String()
	only := kingpin.Flag("profile", "Run this profile alone.").Enum("cowbell", "quiros-mora")
	baseline := kingpin.Flag("baseline", "Also run round robin without limits.").Default("true").Bool()
	kingpin.Parse()
	e.PhaseLength = min(e.PhaseLength, maxPhase)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &e, *out, *only, *baseline); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// run runs the profiles and writes the report.
func run(ctx context.Context, e *experiment.Experiment, out, only string, baseline bool) error {
	if err := os.MkdirAll(out, 0o750); err != nil {
		return errors.Wrapf(err, "create folder %q", out)
	}
	folder, err := os.MkdirTemp("", "tanagerbarrow-experiment-")
	if err != nil {
		return errors.Wrap(err, "create a folder for the runs")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	e.Folder = folder
	report := experiment.Report{Started: time.Now(), PhaseSeconds: e.PhaseLength.Seconds()}
	policies := map[string]string{"adaptive": ""}
	order := []string{"adaptive"}
	if baseline {
		policies["round-robin"] = baselineSettings
		order = append(order, "round-robin")
	}
	for _, p := range []experiment.Profile{experiment.Cowbell(), experiment.QuirosMora()} {
		if only != "" && p.Name != only {
			continue
		}
		for _, policy := range order {
			r, err := e.Run(ctx, p, policy, policies[policy])
			if err != nil {
				return err
			}
			report.Runs = append(report.Runs, r)
		}
	}
	return report.Write(out)
}
