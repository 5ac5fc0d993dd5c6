package control

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/consensus"
	"tanagerbarrow/consensus/raft"
	"tanagerbarrow/consensus/wal"
	"tanagerbarrow/ledger"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// GroupConfiguration is the replicated group that holds the configuration.
const GroupConfiguration = "configuration"

// replicas are the replicas of this process, one for each group that it is a
// member of.
type replicas struct {
	transport *peer.ReplicaTransport
	nodes     map[string]*consensus.Node
	// groups holds the names of the groups in the order of opening.
	groups []string
	// failed is closed when a replica stops with an error.
	failed     chan struct{}
	failedOnce sync.Once
}

// openReplicas opens the replicas of this host: the configuration, the ledger
// that all regions share, and the ledger of its own region.
func openReplicas(s *settings.Settings, machine consensus.StateMachine, m *telemetry.Metrics, log zerolog.Logger) (*replicas, error) {
	r := &replicas{
		transport: peer.NewReplicaTransport(s.Host.Name, s.Access, m.Set, log),
		nodes:     map[string]*consensus.Node{}, failed: make(chan struct{}),
	}
	allControlHosts := members(s, "")
	groups := []consensus.Options{
		{Group: GroupConfiguration, Hosts: allControlHosts, Machine: machine},
		{Group: ledger.CommonGroup, Hosts: allControlHosts, Machine: ledger.NewMachine()},
		{Group: ledger.GroupOf(s.Region()), Regional: true, Hosts: members(s, s.Region()), Machine: ledger.NewMachine()},
	}
	for _, o := range groups {
		o.Name, o.FS, o.Transport, o.Log = s.Host.Name, wal.OS{}, r.transport, log
		o.Folder = filepath.Join(s.Control.DataFolder, o.Group)
		o.CommitDuration = m.Set.GetOrCreateHistogram(fmt.Sprintf(`tanagerbarrow_commit_duration_seconds{group=%q}`, o.Group))
		node, err := consensus.Open(o)
		if err != nil {
			return nil, errors.CombineErrors(err, r.close())
		}
		r.nodes[o.Group] = node
		r.groups = append(r.groups, o.Group)
		r.exportMetrics(m, node)
		go r.watchFailure(node)
	}
	return r, nil
}

// exportMetrics registers the metrics of a replica.
func (r *replicas) exportMetrics(m *telemetry.Metrics, n *consensus.Node) {
	gauge := func(name string, value func(consensus.Status) float64) {
		metric := fmt.Sprintf("tanagerbarrow_replica_%s{group=%q}", name, n.Status().Group)
		m.Set.GetOrCreateGauge(metric, func() float64 { return value(n.Status()) })
	}
	gauge("leads", func(s consensus.Status) float64 {
		if s.LeaderID == s.ReplicaID {
			return 1
		}
		return 0
	})
	gauge("term", func(s consensus.Status) float64 { return float64(s.Term) })
	gauge("voters", func(s consensus.Status) float64 { return float64(len(s.Voters)) })
	gauge("commit_index", func(s consensus.Status) float64 { return float64(s.CommitIndex) })
	gauge("applied_index", func(s consensus.Status) float64 { return float64(s.AppliedIndex) })
}

// members returns the control hosts of a region, or all if region is empty.
func members(s *settings.Settings, region string) []raft.Member {
	var all []raft.Member
	for _, h := range s.ControlHosts {
		if region == "" || s.Regions[h.AvailabilityZone] == region {
			all = append(all, raft.Member{Name: h.Name, Address: h.Peer.String()})
		}
	}
	return all
}

// watchFailure waits until a replica stops and closes r.failed if it stopped with
// an error.
func (r *replicas) watchFailure(n *consensus.Node) {
	<-n.Done()
	if n.Err() != nil {
		r.failedOnce.Do(func() { close(r.failed) })
	}
}

// find returns the replica of a group for the peer server, or nil if there is
// none.
func (r *replicas) find(group string) peer.Replica {
	if n := r.nodes[group]; n != nil {
		return n
	}
	return nil
}

// ledger returns the replica of a ledger group. An empty group is the ledger that
// all regions share.
func (r *replicas) ledger(group string) (consensus.Replicator, error) {
	if group == "" {
		group = ledger.CommonGroup
	}
	if n := r.nodes[group]; n != nil && group != GroupConfiguration {
		return n, nil
	}
	return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "group_not_served",
		"this host has no replica of group %q", group)
}

// close stops all replicas and returns their combined errors.
func (r *replicas) close() error {
	var failures error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		wg.Go(func() {
			err := n.Close()
			mu.Lock()
			defer mu.Unlock()
			failures = errors.CombineErrors(failures, err)
		})
	}
	wg.Wait()
	r.transport.Close()
	return failures
}

// Statuses returns the status of the replica of each group.
func (r *replicas) Statuses() []consensus.Status {
	var all []consensus.Status
	for _, group := range r.groups {
		all = append(all, r.nodes[group].Status())
	}
	return all
}

// Change starts a membership change of a group.
func (r *replicas) Change(ctx context.Context, group string, c consensus.Change) error {
	n := r.nodes[group]
	if n == nil {
		return errors.Newf("this host has no replica of group %q", group)
	}
	return n.Change(ctx, c)
}
