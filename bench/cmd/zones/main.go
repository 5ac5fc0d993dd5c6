// Command zones measures the service while availability zones leave, return and
// fail: a system of separate processes on loopback, under load from stand-in
// callers, with backend servers that record what came to them and when.
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
)

// maxStage bounds the length of a stage.
const maxStage = 2 * time.Minute

// options are the flags of the command.
type options struct {
	binary   string
	entries  int
	backends int
	rate     float64
	stage    time.Duration
	seed     uint64
	deadline time.Duration
	service  time.Duration
}

func main() {
	var o options
	kingpin.Flag("binary", "Path of the daemon.").Default("bin/tanagerbarrow").StringVar(&o.binary)
	kingpin.Flag("entries", "Entry processes.").Default("12").IntVar(&o.entries)
	kingpin.Flag("backends", "Backend servers in each zone.").Default("4").IntVar(&o.backends)
	kingpin.Flag("rate", "Requests each second.").Default("400").Float64Var(&o.rate)
	kingpin.Flag("stage", "Length of each stage, at most 2m.").Default("15s").DurationVar(&o.stage)
	kingpin.Flag("seed", "Seed of arrivals.").Default("1").Uint64Var(&o.seed)
	kingpin.Flag("deadline", "Deadline of each request.").Default("2s").DurationVar(&o.deadline)
	kingpin.Flag("service-time", "Service time of each request.").Default("10ms").DurationVar(&o.service)
	kingpin.Parse()
	o.stage = min(o.stage, maxStage)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "zones:", err)
		os.Exit(1)
	}
}

// run starts the system and measures all stages.
func run(ctx context.Context, o options) error {
	folder, err := os.MkdirTemp("", "tanagerbarrow-zones-")
	if err != nil {
		return errors.Wrap(err, "create a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	w, err := startWorld(o, folder)
	if err != nil {
		return err
	}
	defer w.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.frontend.Run(ctx)
	fmt.Printf("%-24s %7s %7s %9s %9s %9s %9s %s\n",
		"stage", "sent", "failed", "p50 ms", "p99 ms", "p99.9 ms", "late", "notes")
	for _, s := range stages() {
		if ctx.Err() != nil {
			break
		}
		if err := w.measure(ctx, s); err != nil {
			return errors.Wrapf(err, "stage %q", s.name)
		}
	}
	return nil
}
