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

// Failover is the time without commits after the loss of a leader.
type Failover struct{ Shortest, Median, Longest time.Duration }

// MeasureFailover kills the leader of the ledger and measures the time until a
// claim is granted through another control process, several times.
func MeasureFailover(binary string, voters, times int) (Failover, error) {
	folder, err := os.MkdirTemp("", "tanagerbarrow-controlbench-")
	if err != nil {
		return Failover{}, errors.Wrap(err, "create the folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	running, err := start(binary, folder, voters)
	if err != nil {
		return Failover{}, err
	}
	defer running.Stop()
	var took []time.Duration
	for n := range times {
		one, err := failOver(running, n)
		if err != nil {
			return Failover{}, err
		}
		took = append(took, one)
	}
	slices.Sort(took)
	return Failover{took[0], took[len(took)/2], took[len(took)-1]}, nil
}

// failOver kills the leader once, measures, and starts it again.
func failOver(r *cluster.RunningSystem, n int) (time.Duration, error) {
	at, err := leader(r)
	if err != nil {
		return 0, err
	}
	gone, other := r.Controls[at], r.Controls[(at+1)%len(r.Controls)]
	client := peer.NewClient("entry-1", cluster.PeerKey, settings.Host{Name: other.Name, Peer: other.Peer})
	defer client.Close()
	if err := claim(client, fmt.Sprintf("before-%d", n)); err != nil {
		return 0, err
	}
	if err := r.Kill(gone.Name); err != nil {
		return 0, err
	}
	begin := time.Now()
	for try := 0; ; try++ {
		err := claim(client, fmt.Sprintf("after-%d-%d", n, try))
		if err == nil {
			break
		}
		if time.Since(begin) > startTimeout {
			return 0, err
		}
	}
	took := time.Since(begin)
	if err := r.Launch("control", gone); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	return took, nil
}
