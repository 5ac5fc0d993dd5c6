package control

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/consensus"
	"tanagerbarrow/operator"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
)

// The intervals and time limits of the distribution.
const (
	// quorumCheckInterval is the time between two quorum checks; see
	// checkQuorum.
	quorumCheckInterval = 2 * time.Second
	// quorumCheckTimeout limits the time of one quorum check.
	quorumCheckTimeout = time.Second
	// quorumLease is the time after a successful quorum check during which a
	// control host answers watches.
	quorumLease = 3 * time.Second
	// reportLifetime is the time during which the report of an entry that does
	// not send another watch is used.
	reportLifetime = 10 * time.Second
	// gatherTimeout limits the time of the requests to the other control hosts.
	gatherTimeout = 500 * time.Millisecond
)

// errNoQuorum is the answer to a watch while this control host has no recent
// quorum check. The entry then watches another control host.
var errNoQuorum = errors.New("this control host is out of touch with the quorum")

// distribution answers the watches of entries with configurations, and records
// which version each entry has and which backend servers it reports.
type distribution struct {
	settings      *settings.Settings
	feed          *state.Feed
	replicator    consensus.Replicator
	log           zerolog.Logger
	otherControls []*peer.Client

	mu sync.Mutex
	// entries holds the last watch of each entry host, by its name.
	entries map[string]entryStatus
	// quorumCheckedAt is when the last successful quorum check began.
	quorumCheckedAt time.Time
}

// entryStatus is what one entry host last sent to this control host.
type entryStatus struct {
	version    uint64
	receivedAt time.Time
	rows       []state.CapacityRow
	// hasReport reports whether the entry ever sent a capacity report. Its rows
	// may be empty.
	hasReport bool
}

// newDistribution returns the distribution of the configurations in feed.
// replicator is the replica of the configuration.
func newDistribution(s *settings.Settings, feed *state.Feed, replicator consensus.Replicator, log zerolog.Logger) *distribution {
	d := &distribution{settings: s, feed: feed, replicator: replicator, log: log, entries: map[string]entryStatus{}}
	for _, h := range s.ControlHosts {
		if h.Name != s.Host.Name {
			d.otherControls = append(d.otherControls, peer.NewClient(s.Host.Name, s.Access.PeerKey, h).UseTLS(s.Access.TLS))
		}
	}
	return d
}

// register adds the RPC methods for entries and for other control hosts.
func (d *distribution) register(s *peer.Server) {
	s.Handle(peer.MethodWatch, peer.Typed(d.watch))
	s.Handle(peer.MethodHosts, peer.Typed(d.listHosts))
}

// run checks periodically that the quorum is reachable, until ctx ends.
func (d *distribution) run(ctx context.Context) error {
	tick := time.NewTicker(quorumCheckInterval)
	defer tick.Stop()
	for {
		if err := d.checkQuorum(ctx, d.heartbeatReadBarrier); err != nil && ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("quorum check failed")
		}
		select {
		case <-ctx.Done():
			for _, other := range d.otherControls {
				other.Close()
			}
			return nil
		case <-tick.C:
		}
	}
}

// checkQuorum waits for readBarrier once and renews the quorum lease if it
// succeeds. The feed then contains every configuration that was committed before
// the call.
func (d *distribution) checkQuorum(ctx context.Context, readBarrier func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, quorumCheckTimeout)
	defer cancel()
	begin := time.Now()
	if err := readBarrier(ctx); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quorumCheckedAt = begin
	return nil
}

// heartbeatReadBarrier is a read barrier that waits for the leader's next
// heartbeat if the replicator supports that, and a plain read barrier otherwise.
func (d *distribution) heartbeatReadBarrier(ctx context.Context) error {
	if node, ok := d.replicator.(interface{ HeartbeatReadBarrier(context.Context) error }); ok {
		return node.HeartbeatReadBarrier(ctx)
	}
	return d.replicator.ReadBarrier(ctx)
}

// quorumAge returns the time since the start of the last successful quorum check.
func (d *distribution) quorumAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.quorumCheckedAt)
}

// watch returns an update if there is a newer configuration than the entry has.
// Otherwise it waits for one, at most for [peer.MaxWatchWait] and until the quorum
// lease ends, and then returns an empty update. An entry that asks for a full
// configuration receives the current one at once. A read barrier precedes the first
// configuration that an entry receives. Without a quorum lease, watch returns
// errNoQuorum.
func (d *distribution) watch(ctx context.Context, w peer.WatchRequest) (peer.WatchResponse, error) {
	d.recordWatch(w)
	if !w.HasConfiguration {
		if err := d.checkQuorum(ctx, d.replicator.ReadBarrier); err != nil {
			return peer.WatchResponse{}, err
		}
	}
	leaseRemaining := quorumLease - d.quorumAge()
	if leaseRemaining <= 0 {
		return peer.WatchResponse{}, errNoQuorum
	}
	if w.Full {
		return peer.WatchResponse{Update: state.Update{Full: d.feed.Current()}}, nil
	}
	u, err := peer.AwaitUpdate(ctx, d.feed, w, leaseRemaining)
	return peer.WatchResponse{Update: u, UpToDateMillisecondsAgo: d.quorumAge().Milliseconds()}, err
}

// recordWatch records the version and the capacity report that a watch contains.
func (d *distribution) recordWatch(w peer.WatchRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.entries[w.Host]
	h.version, h.receivedAt = w.Version, time.Now()
	if w.Report != nil {
		h.rows, h.hasReport = w.Report.Rows, true
	}
	d.entries[w.Host] = h
}

// listHosts returns the entry hosts that sent watches to this control host, and the
// merged capacity reports that have not expired.
func (d *distribution) listHosts(context.Context, peer.Empty) (peer.HostsResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	answer := peer.HostsResponse{Version: d.feed.Version(), QuorumContactMillisecondsAgo: now.Sub(d.quorumCheckedAt).Milliseconds()}
	var reports []state.CapacityReport
	for name, h := range d.entries {
		age := now.Sub(h.receivedAt)
		answer.EntryHosts = append(answer.EntryHosts, peer.EntryHostStatus{Host: name, Version: h.version, LastSeenMillisecondsAgo: age.Milliseconds()})
		if h.hasReport && age <= reportLifetime {
			reports = append(reports, state.CapacityReport{Reporters: 1, Rows: h.rows})
		}
	}
	answer.Capacity = state.MergeReports(reports)
	return answer, nil
}

// controlAnswer is the answer of one control host to [peer.MethodHosts].
type controlAnswer struct {
	control string
	hosts   peer.HostsResponse
	failed  bool
}

// gather returns the hosts that each control host lists, this one included. It
// returns no error: failed is set for a control host that does not answer in time.
func (d *distribution) gather(ctx context.Context) []controlAnswer {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	answers := make([]controlAnswer, len(d.otherControls)+1)
	own, _ := d.listHosts(ctx, peer.Empty{})
	answers[len(d.otherControls)] = controlAnswer{control: d.settings.Host.Name, hosts: own}
	var g errgroup.Group
	for i, other := range d.otherControls {
		g.Go(func() error {
			answers[i].control = other.Peer().Name
			if err := other.Call(ctx, peer.MethodHosts, peer.Empty{}, &answers[i].hosts); err != nil {
				answers[i].failed = true
				d.log.Debug().Err(err).Msg("control host did not answer the request for its entry hosts")
			}
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// Report returns the merged capacity reports that all control hosts received from
// entries and that have not expired.
func (d *distribution) Report() state.CapacityReport {
	var reports []state.CapacityReport
	for _, a := range d.gather(context.Background()) {
		reports = append(reports, a.hosts.Capacity)
	}
	return state.MergeReports(reports)
}

// hostStatuses returns the status of all control hosts and of the entry hosts. The
// status of an entry host is that of its latest watch to any control host.
func (d *distribution) hostStatuses(ctx context.Context) operator.Hosts {
	byName := map[string]operator.HostStatus{}
	for _, h := range d.settings.EntryHosts {
		byName[h.Name] = operator.HostStatus{Host: h.Name, AvailabilityZone: h.AvailabilityZone}
	}
	var all operator.Hosts
	for _, a := range d.gather(ctx) {
		all.Controls = append(all.Controls, operator.ControlStatus{
			Host: a.control, Answered: !a.failed, Version: a.hosts.Version, QuorumContactMillisecondsAgo: a.hosts.QuorumContactMillisecondsAgo,
		})
		for _, h := range a.hosts.EntryHosts {
			latest := byName[h.Host]
			if latest.Seen && latest.LastSeenMillisecondsAgo <= h.LastSeenMillisecondsAgo {
				continue
			}
			byName[h.Host] = operator.HostStatus{
				Host: h.Host, AvailabilityZone: latest.AvailabilityZone, Seen: true, Version: h.Version,
				LastSeenMillisecondsAgo: h.LastSeenMillisecondsAgo, LastSeenBy: a.control,
			}
		}
	}
	for _, h := range byName {
		all.Entries = append(all.Entries, h)
	}
	slices.SortFunc(all.Controls, func(a, b operator.ControlStatus) int { return strings.Compare(a.Host, b.Host) })
	slices.SortFunc(all.Entries, func(a, b operator.HostStatus) int { return strings.Compare(a.Host, b.Host) })
	return all
}
