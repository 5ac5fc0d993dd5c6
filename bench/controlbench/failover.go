package controlbench

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
)

// FailoverTimes summarizes the times without commits after the loss of a leader.
type FailoverTimes struct{ Shortest, Median, Longest time.Duration }

// MeasureFailover kills the leader of the ledger and measures the time until a
// claim is granted through another control process, several times.
func MeasureFailover(binary string, voters, times int) (FailoverTimes, error) {
	folder, err := os.MkdirTemp("", "tanagerbarrow-controlbench-")
	if err != nil {
		return FailoverTimes{}, errors.Wrap(err, "create the folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	running, err := startControls(binary, folder, voters)
	if err != nil {
		return FailoverTimes{}, err
	}
	defer running.Stop()
	var took []time.Duration
	for n := range times {
		one, err := measureOneFailover(running, n)
		if err != nil {
			return FailoverTimes{}, err
		}
		took = append(took, one)
	}
	slices.Sort(took)
	return FailoverTimes{took[0], took[len(took)/2], took[len(took)-1]}, nil
}

// measureOneFailover kills the leader, measures the time until a claim is granted
// through another control process, and starts the killed process again.
func measureOneFailover(r *cluster.RunningSystem, n int) (time.Duration, error) {
	at, err := awaitLeader(r)
	if err != nil {
		return 0, err
	}
	killed, other := r.Controls[at], r.Controls[(at+1)%len(r.Controls)]
	client := peer.NewClient("entry-1", cluster.PeerKey, settings.Host{Name: other.Name, Peer: other.Peer})
	defer client.Close()
	if err := claimKey(client, fmt.Sprintf("before-%d", n)); err != nil {
		return 0, err
	}
	if err := r.Kill(killed.Name); err != nil {
		return 0, err
	}
	begin := time.Now()
	for try := 0; ; try++ {
		err := claimKey(client, fmt.Sprintf("after-%d-%d", n, try))
		if err == nil {
			break
		}
		if time.Since(begin) > startTimeout {
			return 0, err
		}
	}
	took := time.Since(begin)
	if err := r.Launch("control", killed); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	return took, nil
}
