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

// The times of the distribution.
const (
	// quorumPeriod is the time between two proofs of touch with the quorum.
	quorumPeriod = 2 * time.Second
	// proofTimeout bounds one proof.
	proofTimeout = time.Second
	// quorumLease is how long a proof lets a control host answer watches.
	quorumLease = 3 * time.Second
	// reportLease is how long the report of an entry that went silent counts.
	reportLease = 10 * time.Second
	// gatherTimeout bounds the question to the other control hosts.
	gatherTimeout = 500 * time.Millisecond
)

// errCutOff tells an entry to watch another control host.
var errCutOff = errors.New("this control host is out of touch with the quorum")

// distribution pushes configurations to the entries that watch, and knows what
// they run.
type distribution struct {
	settings *settings.Settings
	feed     *state.Feed
	config   consensus.Replicator
	log      zerolog.Logger
	others   []*peer.Client

	mu       sync.Mutex
	heard    map[string]heard
	quorumAt time.Time
}

// heard is what this control host heard of one entry host.
type heard struct {
	version uint64
	at      time.Time
	rows    []state.CapacityRow
	// reported says that rows were reported at all.
	reported bool
}

// newDistribution returns the distribution of a feed.
func newDistribution(s *settings.Settings, feed *state.Feed, config consensus.Replicator, log zerolog.Logger) *distribution {
	d := &distribution{settings: s, feed: feed, config: config, log: log, heard: map[string]heard{}}
	for _, h := range s.ControlHosts {
		if h.Name != s.Host.Name {
			d.others = append(d.others, peer.NewClient(s.Host.Name, s.Access.PeerKey, h).UseTLS(s.Access.TLS))
		}
	}
	return d
}

// register adds the methods for entries and for other control hosts.
func (d *distribution) register(s *peer.Server) {
	s.Handle(peer.MethodWatch, peer.Typed(d.watch))
	s.Handle(peer.MethodHosts, peer.Typed(d.list))
}

// run proves touch with the quorum until ctx ends.
func (d *distribution) run(ctx context.Context) error {
	tick := time.NewTicker(quorumPeriod)
	defer tick.Stop()
	for {
		if err := d.prove(ctx, d.touch); err != nil && ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("out of touch with the quorum")
		}
		select {
		case <-ctx.Done():
			for _, other := range d.others {
				other.Close()
			}
			return nil
		case <-tick.C:
		}
	}
}

// prove reads through the quorum once, in the given way. Everything committed
// before then is in the feed afterwards.
func (d *distribution) prove(ctx context.Context, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	begin := time.Now()
	if err := read(ctx); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quorumAt = begin
	return nil
}

// touch reads through the quorum, at the leader's next heartbeat if the
// replicated log can wait for it.
func (d *distribution) touch(ctx context.Context) error {
	if node, ok := d.config.(interface{ HeartbeatReadBarrier(context.Context) error }); ok {
		return node.HeartbeatReadBarrier(ctx)
	}
	return d.config.ReadBarrier(ctx)
}

// proofAge returns the time since the last proof of touch with the quorum.
func (d *distribution) proofAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.quorumAt)
}

// watch answers with a configuration newer than the asker's, or with nothing
// after a while, at the latest when the proof of touch with the quorum ends. The
// asker's first configuration follows a read barrier. A control host that is out
// of touch with the quorum refuses.
func (d *distribution) watch(ctx context.Context, w peer.WatchRequest) (peer.WatchResponse, error) {
	d.note(w)
	if !w.HasConfiguration {
		if err := d.prove(ctx, d.config.ReadBarrier); err != nil {
			return peer.WatchResponse{}, err
		}
	}
	left := quorumLease - d.proofAge()
	if left <= 0 {
		return peer.WatchResponse{}, errCutOff
	}
	if w.Full {
		return peer.WatchResponse{Update: state.Update{Full: d.feed.Current()}}, nil
	}
	u, err := peer.AwaitUpdate(ctx, d.feed, w, left)
	return peer.WatchResponse{Update: u, UpToDateMillisecondsAgo: d.proofAge().Milliseconds()}, err
}

// note remembers what a host told.
func (d *distribution) note(w peer.WatchRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.heard[w.Host]
	h.version, h.at = w.Version, time.Now()
	if w.Report != nil {
		h.rows, h.reported = w.Report.Rows, true
	}
	d.heard[w.Host] = h
}

// list tells another control host what this one heard.
func (d *distribution) list(context.Context, peer.Empty) (peer.HostsResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	answer := peer.HostsResponse{Version: d.feed.Version(), QuorumContactMillisecondsAgo: now.Sub(d.quorumAt).Milliseconds()}
	var reports []state.CapacityReport
	for name, h := range d.heard {
		age := now.Sub(h.at)
		answer.EntryHosts = append(answer.EntryHosts, peer.EntryHostStatus{Host: name, Version: h.version, LastSeenMillisecondsAgo: age.Milliseconds()})
		if h.reported && age <= reportLease {
			reports = append(reports, state.CapacityReport{Reporters: 1, Rows: h.rows})
		}
	}
	answer.Capacity = state.MergeReports(reports)
	return answer, nil
}

// told is the answer of one control host.
type told struct {
	by     string
	hosts  peer.HostsResponse
	failed bool
}

// gather asks every control host what it heard, this one included.
func (d *distribution) gather(ctx context.Context) []told {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	answers := make([]told, len(d.others)+1)
	own, _ := d.list(ctx, peer.Empty{})
	answers[len(d.others)] = told{by: d.settings.Host.Name, hosts: own}
	var g errgroup.Group
	for i, other := range d.others {
		g.Go(func() error {
			answers[i].by = other.Peer().Name
			if err := other.Call(ctx, peer.MethodHosts, peer.Empty{}, &answers[i].hosts); err != nil {
				answers[i].failed = true
				d.log.Debug().Err(err).Msg("control host did not tell what it heard")
			}
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// Report returns what entries reported lately to any control host.
func (d *distribution) Report() state.CapacityReport {
	var reports []state.CapacityReport
	for _, a := range d.gather(context.Background()) {
		reports = append(reports, a.hosts.Capacity)
	}
	return state.MergeReports(reports)
}

// hosts returns what all control hosts together know of the entry hosts.
func (d *distribution) hosts(ctx context.Context) operator.Hosts {
	byName := map[string]operator.HostStatus{}
	for _, h := range d.settings.EntryHosts {
		byName[h.Name] = operator.HostStatus{Host: h.Name, AvailabilityZone: h.AvailabilityZone}
	}
	var all operator.Hosts
	for _, a := range d.gather(ctx) {
		all.Controls = append(all.Controls, operator.ControlStatus{
			Host: a.by, Answered: !a.failed, Version: a.hosts.Version, QuorumContactMillisecondsAgo: a.hosts.QuorumContactMillisecondsAgo,
		})
		for _, h := range a.hosts.EntryHosts {
			known := byName[h.Host]
			if known.Seen && known.LastSeenMillisecondsAgo <= h.LastSeenMillisecondsAgo {
				continue
			}
			byName[h.Host] = operator.HostStatus{
				Host: h.Host, AvailabilityZone: known.AvailabilityZone, Seen: true, Version: h.Version,
				LastSeenMillisecondsAgo: h.LastSeenMillisecondsAgo, LastSeenBy: a.by,
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
