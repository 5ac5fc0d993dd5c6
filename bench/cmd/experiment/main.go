// Command experiment runs deployments as separate processes on loopback under load
// and faults, writes a report, and exits.
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

// maxPhaseLength is the maximum length of a phase.
const maxPhaseLength = 5 * time.Minute

// roundRobinSettings makes entries choose backend servers round robin and without
// limits.
const roundRobinSettings = "[balance]\npolicy = round-robin\n"

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
	e.PhaseLength = min(e.PhaseLength, maxPhaseLength)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &e, *out, *only, *baseline); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// run runs the profiles and writes the report.
func run(ctx context.Context, e *experiment.Experiment, out, onlyProfile string, baseline bool) error {
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
	settingsByPolicy := map[string]string{"adaptive": ""}
	order := []string{"adaptive"}
	if baseline {
		settingsByPolicy["round-robin"] = roundRobinSettings
		order = append(order, "round-robin")
	}
	for _, p := range []experiment.Profile{experiment.Cowbell(), experiment.QuirosMora()} {
		if onlyProfile != "" && p.Name != onlyProfile {
			continue
		}
		for _, policy := range order {
			r, err := e.Run(ctx, p, policy, settingsByPolicy[policy])
			if err != nil {
				return err
			}
			report.Runs = append(report.Runs, r)
		}
	}
	return report.Write(out)
}
