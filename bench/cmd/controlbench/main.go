// Command controlbench measures control processes on the local machine: commit
// latency, failover time, restart time, and resource usage at rest. A full run takes
// about three minutes.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagerbarrow/bench/controlbench"
)

// The number of callers in concurrent measurements, and the bytes of a mebibyte.
const (
	concurrentCallers = 64
	mebibyte          = 1 << 20
)

func main() {
	app := kingpin.New("controlbench", "Measure control processes: commit latency, failover, restart time, use at rest.")
	binary := app.Flag("binary", "Path of the daemon.").Default("bin/tanagerbarrow").String()
	commits := app.Flag("commits", "Commits of one caller; 64 callers make ten times as many.").Default("1000").Int()
	rest := app.Flag("rest", "Time at rest.").Default("20s").Duration()
	changes := app.Flag("changes", "Changes before a restart; repeat it.").Default("500", "50000").Ints()
	pause := app.Flag("pause", "Pause between changes in the second reading of use; 6,700 a day are one in 12.9s.").
		Default("12.9s").Duration()
	kills := app.Flag("kills", "Leaders that are killed, at most 100.").Default("10").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, part := range []func() error{
		func() error { return printFailover(*binary, min(*kills, 100)) },
		func() error { return printCommits(*binary, *commits) },
		func() error { return printRestarts(*binary, *changes) },
		func() error { return printUsage(*binary, *rest, 0) },
		func() error { return printUsage(*binary, 2*(*rest), *pause) },
	} {
		if err := part(); err != nil {
			fmt.Fprintln(os.Stderr, "controlbench:", err)
			os.Exit(1)
		}
	}
}

// printCommits measures and prints the latency and throughput of commits.
func printCommits(binary string, commits int) error {
	fmt.Println("voters  callers  asked     p50 ms  p99 ms  commits/s")
	for _, voters := range []int{1, 3, 5} {
		for _, callers := range []int{1, concurrentCallers} {
			for _, target := range []string{"leader", "follower"} {
				if voters == 1 && target == "follower" {
					continue
				}
				count := commits
				if callers > 1 {
					count *= 10
				}
				c, err := controlbench.MeasureCommits(binary, voters, callers, count, target == "leader")
				if err != nil {
					return err
				}
				fmt.Printf("%6d  %7d  %-8s  %6.2f  %6.2f  %9.0f\n",
					voters, callers, target, milliseconds(c.P50), milliseconds(c.P99), c.PerSecond)
			}
		}
	}
	return nil
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// printRestarts measures and prints the restart time after each number of changes.
func printRestarts(binary string, changes []int) error {
	for _, n := range changes {
		took, err := controlbench.MeasureRestart(binary, n)
		if err != nil {
			return err
		}
		fmt.Printf("restart after %d changes: %.0f ms\n", n, milliseconds(took))
	}
	return nil
}

// printUsage measures and prints the network, processor and memory usage of five
// voters.
func printUsage(binary string, duration, pause time.Duration) error {
	u, err := controlbench.MeasureUsage(binary, 5, duration, pause)
	if err != nil {
		return err
	}
	fmt.Printf("5 voters, %s, %d changes: %.0f bytes/s, %.2f%% of a core, %.0f MiB at most, for each process\n",
		duration, u.Changes, u.BytesPerSecond, u.Cores*100, u.MemoryBytes/mebibyte)
	return nil
}

// printFailover measures and prints the time without commits after the leader is
// killed.
func printFailover(binary string, kills int) error {
	if kills == 0 {
		return nil
	}
	f, err := controlbench.MeasureFailover(binary, 5, kills)
	if err != nil {
		return err
	}
	fmt.Printf("5 voters, leader killed %d times: commits again after %.0f ms (shortest), %.0f ms (median), %.0f ms (longest)\n",
		kills, milliseconds(f.Shortest), milliseconds(f.Median), milliseconds(f.Longest))
	return nil
}
