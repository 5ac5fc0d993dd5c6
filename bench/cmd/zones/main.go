// Command zones measures request latency and failures while availability zones are
// taken out, brought back and fail. It runs a system of separate processes on loopback
// under load from stand-in callers. The backend servers log the requests that they
// receive, with the arrival times.
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

// maxStageLength is the maximum length of a stage.
const maxStageLength = 2 * time.Minute

// options holds the flags of the command.
type options struct {
	binary      string
	entries     int
	backends    int
	rate        float64
	stage       time.Duration
	seed        uint64
	deadline    time.Duration
	serviceTime time.Duration
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
	kingpin.Flag("service-time", "Service time of each request.").Default("10ms").DurationVar(&o.serviceTime)
	kingpin.Parse()
	o.stage = min(o.stage, maxStageLength)
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
		return errors.Wrap(err, "create a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	sys, err := startSystem(o, folder)
	if err != nil {
		return err
	}
	defer sys.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go sys.balancer.Run(ctx)
	fmt.Printf("%-24s %7s %7s %9s %9s %9s %9s %s\n",
		"stage", "sent", "failed", "p50 ms", "p99 ms", "p99.9 ms", "late", "notes")
	for _, s := range stages() {
		if ctx.Err() != nil {
			break
		}
		if err := sys.measure(ctx, s); err != nil {
			return errors.Wrapf(err, "stage %q", s.name)
		}
	}
	return nil
}
