// Command membercost measures the network traffic, the processor time and the memory
// that membership costs each entry, for increasing numbers of backend servers. The
// entries run in one process and exchange real jsonrpc2 messages over connections in
// memory.
package main

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// options holds the flags of the command.
type options struct {
	entries  int
	servers  []int
	warmUp   time.Duration
	window   time.Duration
	restarts float64
}

func main() {
	var o options
	kingpin.Flag("entries", "Entry hosts.").Default("18").IntVar(&o.entries)
	kingpin.Flag("servers", "Backend servers; repeat it for several sizes.").
		Default("10", "48", "100", "1000", "6200").IntsVar(&o.servers)
	kingpin.Flag("warm-up", "Time before the measurement at each size.").Default("20s").DurationVar(&o.warmUp)
	kingpin.Flag("window", "Time measured at each size, at most 2m.").Default("30s").DurationVar(&o.window)
	kingpin.Flag("restarts", "Restarts of each backend server a day.").Default("4").Float64Var(&o.restarts)
	kingpin.Parse()
	o.window = min(o.window, 2*time.Minute)
	fmt.Printf("%8s %8s %12s %12s %12s %12s %10s %10s %9s\n", "entries", "servers",
		"peer B/s", "peer msg/s", "announce B/s", "announce/s", "core %", "start KB", "heap MB")
	for _, n := range o.servers {
		if err := measure(o, n); err != nil {
			fmt.Fprintln(os.Stderr, "membercost:", err)
			os.Exit(1)
		}
	}
}

// measure runs the system with one number of backend servers and prints a line of
// results. Bytes are the sum of both directions, and all results are per entry.
func measure(o options, servers int) error {
	s := newSystem(o.entries)
	defer s.stop()
	s.announceAll(servers, o.restarts)
	time.Sleep(o.warmUp)
	if err := s.converged(servers); err != nil {
		return err
	}
	startBytes := s.traffic.bytes.Load()
	before, cpu := s.traffic.snapshot(), processorTime()
	time.Sleep(o.window)
	after, used := s.traffic.snapshot(), processorTime()-cpu
	var heap runtime.MemStats
	runtime.ReadMemStats(&heap)
	perEntry := func(n int64) float64 { return float64(n) / float64(o.entries) / o.window.Seconds() }
	// Each peer byte is sent by one entry and received by another; an
	// announcement's bytes concern one entry alone.
	fmt.Printf("%8d %8d %12.0f %12.1f %12.0f %12.2f %10.3f %10.1f %9.1f\n", o.entries, servers,
		2*perEntry(after.bytes-before.bytes), 2*perEntry(after.messages-before.messages),
		perEntry(after.announceBytes-before.announceBytes), perEntry(after.announcements-before.announcements),
		100*used.Seconds()/o.window.Seconds()/float64(o.entries),
		2*float64(startBytes)/float64(o.entries)/1000, float64(heap.HeapAlloc)/float64(o.entries)/1e6)
	return nil
}

// processorTime returns the user and system time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(errors.Wrap(err, "read processor time"))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
