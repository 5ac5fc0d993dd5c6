package controlbench

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/ledger"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
)

// The limits of a measurement.
const (
	maxLatency   = 10 * time.Second
	startTimeout = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	maxCommits   = 200_000
)

// CommitResult is the latency and rate of commits in a group of one size.
type CommitResult struct {
	// Voters is the size of the group and Callers the number of concurrent callers.
	Voters, Callers int
	// ThroughLeader reports that the callers called the leader, not a follower.
	ThroughLeader bool
	// P50 and P99 are percentiles of the latency.
	P50, P99 time.Duration
	// PerSecond is the number of commits per second.
	PerSecond float64
}

// clusterSize returns the size of a system with the given number of control
// processes and one entry, in three regions.
func clusterSize(controls int) cluster.Size {
	return cluster.Size{
		Controls: controls, Entries: 1,
		Zones:     map[string]string{"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"},
		ZoneOrder: []string{"a", "b", "c", "d", "e"},
	}
}

// startControls writes the settings of a system, starts its control processes
// without the entries, and waits until the ledger has a leader.
func startControls(binary, folder string, controls int) (*cluster.RunningSystem, error) {
	written, err := cluster.WriteSettings(folder, clusterSize(controls))
	if err != nil {
		return nil, err
	}
	entries := written.Entries
	written.Entries = nil
	running, err := cluster.Start(binary, written)
	if err != nil {
		return nil, err
	}
	running.Entries = entries
	if _, err := awaitLeader(running); err != nil {
		running.Stop()
		return nil, err
	}
	return running, nil
}

// MeasureCommits claims orders with fresh keys through one control process and
// measures the latency of each claim. A claim is synced to the disks of a quorum
// before it is answered.
func MeasureCommits(binary string, voters, callers, commits int, throughLeader bool) (CommitResult, error) {
	c := CommitResult{Voters: voters, Callers: callers, ThroughLeader: throughLeader}
	folder, err := os.MkdirTemp("", "tanagerbarrow-controlbench-")
	if err != nil {
		return c, errors.Wrap(err, "create the folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	running, err := startControls(binary, folder, voters)
	if err != nil {
		return c, err
	}
	defer running.Stop()
	at, err := awaitLeader(running)
	if err != nil {
		return c, err
	}
	if !throughLeader {
		at = (at + 1) % voters
	}
	if err := c.measureClaims(running.Controls[at], min(commits, maxCommits)); err != nil {
		return c, err
	}
	return c, nil
}

// measureClaims claims fresh keys through one control process and sets the
// latencies and the rate.
func (c *CommitResult) measureClaims(p cluster.Process, commits int) error {
	client := peer.NewClient("entry-1", cluster.PeerKey, settings.Host{Name: p.Name, Peer: p.Peer})
	defer client.Close()
	if err := claimKey(client, "first"); err != nil {
		return err
	}
	var next atomic.Int64
	var mu sync.Mutex
	var failed error
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	var wg sync.WaitGroup
	begin := time.Now()
	for range c.Callers {
		wg.Go(func() {
			for n := next.Add(1); n <= int64(commits); n = next.Add(1) {
				start := time.Now()
				err := claimKey(client, fmt.Sprint(n))
				took := time.Since(start)
				mu.Lock()
				failed = errors.CombineErrors(failed, err)
				_ = h.RecordValue(took.Microseconds())
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	c.PerSecond = float64(commits) / time.Since(begin).Seconds()
	c.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	c.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return failed
}

// claimKey claims one key and returns an error unless the claim is granted.
func claimKey(client *peer.Client, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), maxLatency)
	defer cancel()
	var result ledger.Result
	command := ledger.Command{Op: ledger.OpClaim, Key: key, Token: key, Digest: "digest"}
	err := client.Call(ctx, peer.MethodLedger, peer.LedgerCommand{Group: ledger.CommonGroup, Command: command}, &result)
	if err == nil && result.Outcome != ledger.Granted {
		err = errors.Newf("claim of a fresh key returned outcome %q", result.Outcome)
	}
	return err
}
