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

// The limits of the exchange of load reports.
const (
	loadReportTimeout = 250 * time.Millisecond
	loadRetryDelay    = 100 * time.Millisecond
	// loadReportBytesPerSecond limits the load reports and replies of all entries
	// of a region together: 240 Mbit/s. None are sent between regions.
	loadReportBytesPerSecond = 30_000_000
	// estimatedReplyBytes is the assumed size of the reply to a report.
	estimatedReplyBytes = 64
)

// loadSharer exchanges counts of requests in progress with the other entries of
// the region. It runs one goroutine for the ticks and one for each peer. While a
// peer hasn't replied to a report, no other is sent to it; a later report contains
// the counts.
type loadSharer struct {
	loads      *balance.Loads
	balancer   *dispatch.Balancer
	peers      []loadPeer
	sent       *metrics.Counter
	lost       *metrics.Counter
	counts     *metrics.Counter
	overBudget *metrics.Counter

	zone              string
	budget            *limit.Budget
	bytesInZone       *metrics.Counter
	bytesBetweenZones *metrics.Counter
}

// loadPeer is another entry that receives load reports.
type loadPeer struct {
	client    *peer.Client
	reportDue chan struct{} // capacity 1: a signal that a report may be due
}

// newLoadSharer returns a load sharer for the other entries of the host's region.
func newLoadSharer(s *settings.Settings, b *dispatch.Balancer, m *telemetry.Metrics) *loadSharer {
	l := &loadSharer{
		loads: b.Loads, balancer: b,
		sent:       m.Set.NewCounter(`tanagerbarrow_load_reports_total{result="answered"}`),
		lost:       m.Set.NewCounter(`tanagerbarrow_load_reports_total{result="lost"}`),
		overBudget: m.Set.NewCounter(`tanagerbarrow_load_reports_total{result="over_budget"}`),
		counts:     m.Set.NewCounter(`tanagerbarrow_load_counts_total`),
	}
	l.zone = s.Host.AvailabilityZone
	l.budget = limit.NewBudget(loadReportBytesPerSecond, len(regionEntries(s)), time.Now())
	l.bytesInZone = m.Set.NewCounter(`tanagerbarrow_measuring_bytes_total{link="zone"}`)
	l.bytesBetweenZones = m.Set.NewCounter(`tanagerbarrow_measuring_bytes_total{link="zones"}`)
	m.Set.NewGauge(`tanagerbarrow_measuring_bytes_budget`, l.budget.PerSecond)
	m.Set.NewGauge(`tanagerbarrow_waiting_requests`, func() float64 { return float64(b.Waiting()) })
	for _, c := range clients(s, regionEntries(s)) {
		l.peers = append(l.peers, loadPeer{client: c, reportDue: make(chan struct{}, 1)})
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
		ReturnedZones: e.returnedZones.Since,
		Place: balance.Place{
			AvailabilityZone: s.Host.AvailabilityZone, Regions: s.Regions, RoundTrips: balance.DefaultRoundTrips(),
		},
		Loads: balance.NewLoads(balance.Options{
			Self: s.Host.Name, Live: live, LoanTimeout: 2 * s.Limits.RequestTimeout,
		}, time.Now()),
	}
}

// newPicker returns the picker of backend servers for the policy in the settings.
func (e *Entry) newPicker() dispatch.Picker {
	if e.settings.Balance.Policy == settings.PolicyRoundRobin {
		return &dispatch.RoundRobin{
			Members: e.members.Table().View, Configuration: e.follower.current, Regions: e.settings.Regions,
		}
	}
	return e.balancer
}

// regionEntries returns the entry hosts of the host's region, including itself.
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
	for _, p := range l.peers {
		g.Go(func() error {
			l.sendReports(ctx, p)
			return nil
		})
	}
	l.runTicks(ctx)
	return g.Wait()
}

// runTicks ticks the loads until ctx ends: soon after a change, but at most once
// in each minimum tick period, and otherwise when the next tick is due.
func (l *loadSharer) runTicks(ctx context.Context) {
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
		if untilAllowed := l.loads.MinTickPeriod() - now.Sub(last); untilAllowed > 0 {
			timer.Reset(untilAllowed)
			continue
		}
		last = now
		timer.Reset(l.tickIfDue(now))
	}
}

// tickIfDue refreshes the balancer, wakes waiting requests and ticks the loads if
// a tick is due. It returns the time until the next check.
func (l *loadSharer) tickIfDue(now time.Time) time.Duration {
	l.balancer.Refresh()
	waiting := l.balancer.WakeAll()
	if l.loads.UntilNextTick(now) <= 0 {
		l.loads.Tick(now)
		l.requestReports()
	}
	if waiting {
		return balance.ExchangePeriod
	}
	return max(l.loads.UntilNextTick(now), balance.ExchangePeriod)
}

// requestReports signals to the goroutine of every peer that a report may be due.
func (l *loadSharer) requestReports() {
	for _, p := range l.peers {
		select {
		case p.reportDue <- struct{}{}:
		default:
		}
	}
}

// sendReports sends reports to one peer until ctx ends. After a failure it waits
// for loadRetryDelay.
func (l *loadSharer) sendReports(ctx context.Context, p loadPeer) {
	defer p.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reportDue:
			if !l.sendReport(ctx, p.client) {
				sleep(ctx, loadRetryDelay)
			}
		}
	}
}

// sendReport sends one report if there is something to report. It doesn't send a
// report that exceeds the budget; a later one contains the same counts. It returns
// false if the report was not answered.
func (l *loadSharer) sendReport(ctx context.Context, to *peer.Client) bool {
	name := to.Peer().Name
	report, ok := l.loads.Report(name, time.Now())
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	var rawReply json.RawMessage
	var reply peer.LoadReply
	body, err := json.Marshal(peer.LoadReport{Report: report})
	if err == nil && !l.budget.Spend(len(body)+estimatedReplyBytes, time.Now()) {
		l.overBudget.Inc()
		return true
	}
	if err == nil {
		err = to.Call(ctx, peer.MethodLoad, json.RawMessage(body), &rawReply)
	}
	if err == nil {
		err = json.Unmarshal(rawReply, &reply)
	}
	if err != nil {
		l.lost.Inc()
		l.loads.ReportLost(name)
		return false
	}
	l.sent.Inc()
	l.counts.Add(len(report.Counts))
	l.byteCounter(to).Add(len(body) + len(rawReply))
	l.loads.Acknowledge(name, report, reply.Reply, time.Now())
	return true
}

// byteCounter returns the byte counter for a peer in the same availability zone or
// in another one. Peers are never in another region.
func (l *loadSharer) byteCounter(to *peer.Client) *metrics.Counter {
	if to.Peer().AvailabilityZone == l.zone {
		return l.bytesInZone
	}
	return l.bytesBetweenZones
}

// accept applies the load report of another entry and returns the reply.
func (l *loadSharer) accept(_ context.Context, r peer.LoadReport) (peer.LoadReply, error) {
	return peer.LoadReply{Reply: l.loads.Accept(r.Report, time.Now())}, nil
}
