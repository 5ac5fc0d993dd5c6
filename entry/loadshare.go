package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/balance"
	"tanagerbarrow/dispatch"
	"tanagerbarrow/limit"
	"tanagerbarrow/peer"
	"tanagerbarrow/settings"
	"tanagerbarrow/telemetry"
)

// The exchange of load reports.
const (
	loadTimeout = 250 * time.Millisecond
	loadPause   = 100 * time.Millisecond
	// measuringBytes bounds what the entries of one region together spend on
	// measuring, in bytes per second: 240 Mbit/s, none of it between regions.
	measuringBytes = 30_000_000
	// replyBytes is what a report's answer is taken to need.
	replyBytes = 64
)

// loadSharer exchanges requests in progress with the other entries of the
// region: one goroutine for the period and one for each peer. A peer that is
// still busy with a report misses the next and gets its counts with a later one.
type loadSharer struct {
	loads    *balance.Loads
	balancer *dispatch.Balancer
	links    []loadLink
	sent     *metrics.Counter
	lost     *metrics.Counter
	counts   *metrics.Counter
	denied   *metrics.Counter

	zone         string
	budget       *limit.Budget
	inZone       *metrics.Counter
	betweenZones *metrics.Counter
}

// loadLink is the way to one other entry.
type loadLink struct {
	client *peer.Client
	due    chan struct{} // capacity 1
}

// newLoadSharer returns a sharer to the other entries of the host's region.
func newLoadSharer(s *settings.Settings, b *dispatch.Balancer, m *telemetry.Metrics) *loadSharer {
	l := &loadSharer{
		loads: b.Loads, balancer: b,
		sent:   m.Set.NewCounter(`tanagerbarrow_load_reports_total{result="answered"}`),
		lost:   m.Set.NewCounter(`tanagerbarrow_load_reports_total{result="lost"}`),
		denied: m.Set.NewCounter(`tanagerbarrow_load_reports_total{result="over_budget"}`),
		counts: m.Set.NewCounter(`tanagerbarrow_load_counts_total`),
	}
	l.zone = s.Host.AvailabilityZone
	l.budget = limit.NewBudget(measuringBytes, len(regionEntries(s)), time.Now())
	l.inZone = m.Set.NewCounter(`tanagerbarrow_measuring_bytes_total{link="zone"}`)
	l.betweenZones = m.Set.NewCounter(`tanagerbarrow_measuring_bytes_total{link="zones"}`)
	m.Set.NewGauge(`tanagerbarrow_measuring_bytes_budget`, l.budget.PerSecond)
	m.Set.NewGauge(`tanagerbarrow_waiting_requests`, func() float64 { return float64(b.Waiting()) })
	for _, c := range clients(s, regionEntries(s)) {
		l.links = append(l.links, loadLink{client: c, due: make(chan struct{}, 1)})
	}
	return l
}

// newBalancer returns the balancer of an entry.
func (e *Entry) newBalancer() *dispatch.Balancer {
	s := e.settings
	live := func() []string { return e.members.Hosts().LiveNames(s.Region()) }
	return &dispatch.Balancer{
		Members:       e.members.Table().View,
		Configuration: e.follower.current,
		ReturnedZones: e.returns.Since,
		Place: balance.Place{
			AvailabilityZone: s.Host.AvailabilityZone, Regions: s.Regions, RoundTrips: balance.DefaultRoundTrips(),
		},
		Loads: balance.NewLoads(balance.Options{
			Self: s.Host.Name, Live: live, LoanTimeout: 2 * s.Limits.RequestTimeout,
		}, time.Now()),
	}
}

// picker returns the choice of backend servers that the settings name.
func (e *Entry) picker() dispatch.Picker {
	if e.settings.Balance.Policy == settings.PolicyRoundRobin {
		return &dispatch.RoundRobin{
			Members: e.members.Table().View, Configuration: e.follower.current, Regions: e.settings.Regions,
		}
	}
	return e.balancer
}

// regionEntries returns the entry hosts of the host's region, with itself.
func regionEntries(s *settings.Settings) []settings.Host {
	var found []settings.Host
	for _, h := range s.EntryHosts {
		if s.Regions[h.AvailabilityZone] == s.Region() {
			found = append(found, h)
		}
	}
	return found
}

// run exchanges reports until ctx ends.
func (l *loadSharer) run(ctx context.Context) error {
	var g errgroup.Group
	for _, link := range l.links {
		g.Go(func() error {
			l.serve(ctx, link)
			return nil
		})
	}
	l.tick(ctx)
	return g.Wait()
}

// tick moves the loads on after something happened, at most once in each period,
// and at the pace of the heartbeats otherwise.
func (l *loadSharer) tick(ctx context.Context) {
	timer := time.NewTimer(balance.ExchangePeriod)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.loads.TickRequested():
		}
		now := time.Now()
		if early := l.loads.MinTickPeriod() - now.Sub(last); early > 0 {
			timer.Reset(early)
			continue
		}
		last = now
		timer.Reset(l.tickOnce(now))
	}
}

// tickOnce moves the loads on if that is due and returns when to look again.
func (l *loadSharer) tickOnce(now time.Time) time.Duration {
	l.balancer.Refresh()
	waiting := l.balancer.WakeAll()
	if l.loads.UntilNextTick(now) <= 0 {
		l.loads.Tick(now)
		l.notify()
	}
	if waiting {
		return balance.ExchangePeriod
	}
	return max(l.loads.UntilNextTick(now), balance.ExchangePeriod)
}

// notify makes every link look for something to tell.
func (l *loadSharer) notify() {
	for _, link := range l.links {
		select {
		case link.due <- struct{}{}:
		default:
		}
	}
}

// serve tells one peer.
func (l *loadSharer) serve(ctx context.Context, link loadLink) {
	defer link.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.due:
			if !l.tell(ctx, link.client) {
				pause(ctx, loadPause)
			}
		}
	}
}

// tell sends one report if there is something to tell. One that the budget does
// not allow is not sent; a later one tells the same counts.
func (l *loadSharer) tell(ctx context.Context, to *peer.Client) bool {
	name := to.Peer().Name
	report, ok := l.loads.Report(name, time.Now())
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var answer json.RawMessage
	var reply peer.LoadReply
	body, err := json.Marshal(peer.LoadReport{Report: report})
	if err == nil && !l.budget.Spend(len(body)+replyBytes, time.Now()) {
		l.denied.Inc()
		return true
	}
	if err == nil {
		err = to.Call(ctx, peer.MethodLoad, json.RawMessage(body), &answer)
	}
	if err == nil {
		err = json.Unmarshal(answer, &reply)
	}
	if err != nil {
		l.lost.Inc()
		l.loads.ReportLost(name)
		return false
	}
	l.sent.Inc()
	l.counts.Add(len(report.Counts))
	l.bytes(to).Add(len(body) + len(answer))
	l.loads.Acknowledge(name, report, reply.Reply, time.Now())
	return true
}

// bytes returns the counter of the class of link to a peer. There are no links
// between regions among them.
func (l *loadSharer) bytes(to *peer.Client) *metrics.Counter {
	if to.Peer().AvailabilityZone == l.zone {
		return l.inZone
	}
	return l.betweenZones
}

// accept takes a report of another entry in.
func (l *loadSharer) accept(_ context.Context, r peer.LoadReport) (peer.LoadReply, error) {
	return peer.LoadReply{Reply: l.loads.Accept(r.Report, time.Now())}, nil
}
