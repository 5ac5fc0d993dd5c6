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

// The bounds of a measurement.
const (
	maxLatency   = 10 * time.Second
	startTimeout = 30 * time.Second
	pollPeriod   = 10 * time.Millisecond
	maxCommits   = 200_000
)

// Commit is the latency of commits of one size of group.
type Commit struct {
	// Voters and Callers are the size of the group and the callers at a time.
	Voters, Callers int
	// ThroughLeader says that the callers asked the leader, not a follower.
	ThroughLeader bool
	// P50 and P99 are quantiles of the latency.
	P50, P99 time.Duration
	// PerSecond is the rate of commits.
	PerSecond float64
}

// size returns a system of control processes in three regions.
func size(controls int) cluster.Size {
	return cluster.Size{
		Controls: controls, Entries: 1,
		Zones:     map[string]string{"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"},
		ZoneOrder: []string{"a", "b", "c", "d", "e"},
	}
}

// start writes and launches control processes alone.
func start(binary, folder string, controls int) (*cluster.RunningSystem, error) {
	written, err := cluster.WriteSettings(folder, size(controls))
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
	if _, err := leader(running); err != nil {
		running.Stop()
		return nil, err
	}
	return running, nil
}

// MeasureCommits claims orders with fresh keys through one control process and
// measures each claim: it is synced on a quorum before its answer.
func MeasureCommits(binary string, voters, callers, commits int, throughLeader bool) (Commit, error) {
	c := Commit{Voters: voters, Callers: callers, ThroughLeader: throughLeader}
	folder, err := os.MkdirTemp("", "tanagerbarrow-controlbench-")
	if err != nil {
		return c, errors.Wrap(err, "create the folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	running, err := start(binary, folder, voters)
	if err != nil {
		return c, err
	}
	defer running.Stop()
	at, err := leader(running)
	if err != nil {
		return c, err
	}
	if !throughLeader {
		at = (at + 1) % voters
	}
	if err := c.claimAll(running.Controls[at], min(commits, maxCommits)); err != nil {
		return c, err
	}
	return c, nil
}

// claimAll claims through one control process and sets the figures.
func (c *Commit) claimAll(p cluster.Process, commits int) error {
	client := peer.NewClient("entry-1", cluster.PeerKey, settings.Host{Name: p.Name, Peer: p.Peer})
	defer client.Close()
	if err := claim(client, "first"); err != nil {
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
				err := claim(client, fmt.Sprint(n))
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

// claim claims one key.
func claim(client *peer.Client, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), maxLatency)
	defer cancel()
	var result ledger.Result
	command := ledger.Command{Op: ledger.OpClaim, Key: key, Token: key, Digest: "digest"}
	err := client.Call(ctx, peer.MethodLedger, peer.LedgerCommand{Group: ledger.CommonGroup, Command: command}, &result)
	if err == nil && result.Outcome != ledger.Granted {
		err = errors.Newf("claim of a fresh key ended as %q", result.Outcome)
	}
	return err
}
