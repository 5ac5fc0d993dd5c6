package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The bound of a server's request limit, as its owners state it: in limitWindow, one and
// a half times what the limit allows and limitSlack more, from limitGrace after the server
// first named it.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	limitSlack  = 5
)

// limitedLoad is a load on four servers, the first of which names a request limit in the
// responses to requests. It is replayed in virtual time.
type limitedLoad struct {
	*testBroker
	random *rand.Rand
	// limit returns the limit that the first server names at a time; false for none.
	limit func(time.Duration) (float64, bool)
	// rate is the number of requests per second, and allLimited makes all servers name
	// the limit.
	rate       float64
	allLimited bool
	running    []limitedRequest
	// grants are the times at which the first server was granted to a request.
	grants []time.Duration
	served int
}

// limitedRequest is a request that runs on a server.
type limitedRequest struct {
	entry, server string
	id            uint64
	endsAt        time.Duration
}

// limitedServiceTime is how long each request runs, and limitedStep the resolution of
// the replay.
const (
	limitedServiceTime = 50 * time.Millisecond
	limitedStep        = 5 * time.Millisecond
)

// newLimitedLoad returns a load of 20 requests a second.
func newLimitedLoad(t testing.TB, limit func(time.Duration) (float64, bool)) *limitedLoad {
	l := &limitedLoad{testBroker: newTestBroker(t, "a", "a", "b", "b"), random: rand.New(rand.NewPCG(3, 4)), limit: limit, rate: 20}
	for _, s := range l.servers {
		s.silenceTimeout = time.Hour
	}
	return l
}

// run replays the load from one time to another.
func (l *limitedLoad) run(from, to time.Duration) {
	for at := from; at < to; at += limitedStep {
		l.now = start.Add(at)
		l.endRequests(at)
		if l.random.Float64() < l.rate*limitedStep.Seconds() {
			l.seq++
			l.Ask(fmt.Sprint("e", 1+l.random.IntN(2)), Ask{Seq: l.seq, Service: "s", ObjectiveMillis: 400, DeadlineMillis: 4000}, l.now)
		}
		l.Tick(l.now)
		for _, o := range l.TakeOutputs() {
			if o.Grant == nil {
				continue
			}
			id := o.Server.Record.ID
			l.running = append(l.running, limitedRequest{o.Entry, id, o.Grant.ID, at + limitedServiceTime})
			if id == "server0" {
				l.grants = append(l.grants, at)
			}
		}
	}
}

// endRequests releases the requests that have ended, with what the server names.
func (l *limitedLoad) endRequests(at time.Duration) {
	kept := l.running[:0]
	for _, q := range l.running {
		if q.endsAt > at {
			kept = append(kept, q)
			continue
		}
		r := Release{ID: q.id, Outcome: Answered, ElapsedMillis: int(limitedServiceTime.Milliseconds()), KeepAliveMillis: 9000}
		if q.server == "server0" || l.allLimited {
			r.Limit = &LimitReport{Source: LimitFromRequests}
			r.Limit.PerSecond, r.Limit.Named = l.limit(at)
		}
		l.served++
		l.Release(q.entry, r, l.now)
	}
	l.running = kept
}

// checkLimit fails the test if the first server got more than its limit allows. The
// highest limit of a window counts; a window without one allows anything.
func (l *limitedLoad) checkLimit(namedFrom, to time.Duration) {
	l.t.Helper()
	for end := namedFrom + limitGrace; end <= to; end += 50 * time.Millisecond {
		allowed, unlimited := 0.0, false
		for at := end - limitWindow; at <= end; at += 50 * time.Millisecond {
			perSecond, named := l.limit(max(at, namedFrom))
			allowed, unlimited = max(allowed, perSecond), unlimited || !named
		}
		got := 0
		for _, at := range l.grants {
			if at > end-limitWindow && at <= end {
				got++
			}
		}
		if bound := 1.5*allowed*limitWindow.Seconds() + limitSlack; !unlimited && float64(got) > bound {
			l.t.Fatalf("at %v the server got %d requests in %v, allowed are %v", end, got, limitWindow, bound)
		}
	}
}

// TestServersGetNoMoreThanTheirLimit replays a day on which one of several idle servers
// names a limit below its share of the requests.
func TestServersGetNoMoreThanTheirLimit(t *testing.T) {
	const named, changed, length = 2 * time.Second, 10 * time.Second, 24 * time.Second
	for name, limit := range map[string]func(time.Duration) float64{
		"constant":   func(time.Duration) float64 { return 1 },
		"fractional": func(time.Duration) float64 { return 0.3 },
		"zero":       func(time.Duration) float64 { return 0 },
		"lowered": func(at time.Duration) float64 {
			if at < changed {
				return 3
			}
			return 0.5
		},
		"raised": func(at time.Duration) float64 {
			if at < changed {
				return 0.5
			}
			return 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimitedLoad(t, func(at time.Duration) (float64, bool) { return limit(at), at >= named })
			l.run(0, length)
			l.checkLimit(named, length)
			if want := int(0.9 * 20 * length.Seconds() * 0.9); l.served < want {
				t.Errorf("%d requests were served, want at least %d", l.served, want)
			}
		})
	}
}

// TestWithdrawnLimitEnds checks that a server gets its share again after its limit, also
// a limit of zero, has ended, and that checks that never name a limit don't end it.
func TestWithdrawnLimitEnds(t *testing.T) {
	const named, ended, length = 2 * time.Second, 8 * time.Second, 30 * time.Second
	for _, perSecond := range []float64{0, 1} {
		l := newLimitedLoad(t, func(at time.Duration) (float64, bool) { return perSecond, at >= named && at < ended })
		for at := time.Duration(0); at < length; at += time.Second {
			l.run(at, at+time.Second)
			l.Sample(Sample{Server: l.byID["server0"].Number, Healthy: true, Running: -1, ColdMillis: -1}, l.now)
		}
		l.checkLimit(named, ended)
		after := 0
		for _, at := range l.grants {
			if at > length-4*time.Second {
				after++
			}
		}
		if after < 8 {
			t.Errorf("with a limit of %v that has ended: %d requests in the last 4 s", perSecond, after)
		}
	}
}

// TestNewBrokerKeepsLimits replaces the broker every 2.5 s. Entries report the limits that
// they know, before or after the new broker has the record of the server.
func TestNewBrokerKeepsLimits(t *testing.T) {
	const length = 20 * time.Second
	for _, recordFirst := range []bool{true, false} {
		l := newLimitedLoad(t, func(time.Duration) (float64, bool) { return 1, true })
		known := []ServerLimit{{ServerID: "server0", Limit: RequestLimit{PerSecond: 1, Sources: LimitFromRequests}}}
		for at := time.Duration(0); at < length; at += 2500 * time.Millisecond {
			now := l.now
			l.testBroker = newTestBroker(t)
			l.now, l.running = now, nil
			if !recordFirst {
				l.AdoptLimits(known, l.now)
			}
			for n, zone := range []string{"a", "a", "b", "b"} {
				l.announce(fmt.Sprint("server", n), zone, 0).silenceTimeout = time.Hour
			}
			l.AdoptLimits(known, l.now)
			l.run(at, at+2500*time.Millisecond)
		}
		l.checkLimit(0, length)
	}
}

// TestLimitEndsWithItsServer checks that a server that takes the place of one with a
// limit has none, and that what responses said is not replaced by what entries knew.
func TestLimitEndsWithItsServer(t *testing.T) {
	w := newTestBroker(t, "a")
	s := w.byID["server0"]
	s.observeLimit(&LimitReport{Source: LimitFromRequests, Named: true, PerSecond: 2}, w.now)
	w.AdoptLimits([]ServerLimit{{ServerID: "server0", Limit: RequestLimit{PerSecond: 9, Sources: LimitFromChecks}}}, w.now)
	if got := s.Limit(); got.PerSecond != 2 {
		t.Errorf("the limit is %+v, the server named 2 a second", got)
	}
	r := s.Record
	r.Started++
	if next := w.Announce(r, w.now); next.Limit().Limited() {
		t.Errorf("the new server has the limit %+v", next.Limit())
	}
}

// TestLimitedServiceUsesItsLimits replays a day on which all servers of a service name
// limits that together allow less than the load: callers must get nearly all of that.
func TestLimitedServiceUsesItsLimits(t *testing.T) {
	const perSecond, servers, length = 1.4, 4, 60 * time.Second
	l := newLimitedLoad(t, func(time.Duration) (float64, bool) { return perSecond, true })
	l.rate, l.allLimited = 1.2*perSecond*servers, true
	l.run(0, length)
	l.checkLimit(0, length)
	if allowed := perSecond * servers * length.Seconds(); float64(l.served) < 0.9*allowed {
		t.Errorf("%d requests were served, the limits allow %v", l.served, allowed)
	}
}

// TestLimitedServiceRefusesAtOnce checks that asks beyond the limits of all servers are
// refused without a wait, and that the others are served.
func TestLimitedServiceRefusesAtOnce(t *testing.T) {
	w := newTestBroker(t, "a")
	w.byID["server0"].silenceTimeout = time.Hour
	w.byID["server0"].observeLimit(&LimitReport{Source: LimitFromRequests, Named: true, PerSecond: 0.5}, w.now)
	granted, refused, waiting := 0, 0, 0
	for range 400 {
		w.now = w.now.Add(50 * time.Millisecond)
		switch o := w.ask("e1", nil); {
		case o.Grant != nil:
			granted++
			w.Release("e1", Release{ID: o.Grant.ID, Outcome: Answered, ElapsedMillis: 20}, w.now)
		case o.Refusal != nil:
			refused++
		default:
			waiting++
		}
		w.Tick(w.now)
		w.TakeOutputs()
	}
	if granted < 8 || granted > 11 || waiting > 20 {
		t.Errorf("%d granted, %d refused at once, %d made to wait; the limit allows 10", granted, refused, waiting)
	}
}
