package broker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The bound of a backoff, as the servers' owners state it: from backoffGrace after a server
// has asked an entry to back off until the end of that time, backoffSlack requests of the entry.
const (
	backoffGrace = 500 * time.Millisecond
	backoffSlack = 2
)

// The times of the replayed day: from backoffsFrom to backoffsTo, servers turn all requests away.
const (
	backoffsFrom = 2 * time.Second
	backoffsTo   = 13 * time.Second
	backoffDay   = 18 * time.Second
	backoffTrip  = 10 * time.Millisecond
)

// backoffLoad is a load on four servers, some of which turn all requests away for a time
// and ask each entry that sent one to back off. It is replayed in virtual time.
type backoffLoad struct {
	*testBroker
	random *rand.Rand
	// rate is the number of requests per second.
	rate float64
	// turnsAway returns for how long a server asks an entry to back off; 0 if it answers.
	turnsAway func(server, entry string, at time.Duration) time.Duration
	running   []backoffRequest
	arrivals  []backoffRequest
	sent      int
	answered  int
}

// backoffRequest is a request on a server.
type backoffRequest struct {
	ask           Ask
	entry, server string
	number        uint32
	grant         uint64
	at, endsAt    time.Duration
	wait          time.Duration
}

// newBackoffLoad returns a load of 20 requests a second of two entries.
func newBackoffLoad(t testing.TB, turnsAway func(server, entry string, at time.Duration) time.Duration) *backoffLoad {
	l := &backoffLoad{
		testBroker: newTestBroker(t, "a", "a", "b", "b"), random: rand.New(rand.NewPCG(3, 4)), rate: 20, turnsAway: turnsAway,
	}
	for _, s := range l.servers {
		s.silenceTimeout = time.Hour
	}
	return l
}

// run replays the day.
func (l *backoffLoad) run() {
	for at := time.Duration(0); at < backoffDay; at += limitedStep {
		l.now = start.Add(at)
		l.endRequests(at)
		if l.random.Float64() < l.rate*limitedStep.Seconds() {
			l.seq++
			l.sent++
			l.Ask(fmt.Sprint("e", 1+l.random.IntN(2)), Ask{Seq: l.seq, Service: "s", ObjectiveMillis: 400, DeadlineMillis: 4000}, l.now)
		}
		l.Tick(l.now)
		for _, o := range l.TakeOutputs() {
			if o.Grant == nil {
				continue
			}
			q := backoffRequest{
				ask: Ask{Seq: o.Grant.Seq, Service: "s", ObjectiveMillis: 400, DeadlineMillis: 4000}, entry: o.Entry,
				server: o.Server.Record.ID, number: o.Server.Number, grant: o.Grant.ID, at: at, endsAt: at + limitedServiceTime,
			}
			if q.wait = l.turnsAway(q.server, q.entry, at); q.wait > 0 {
				q.endsAt = at + backoffTrip
			}
			l.running, l.arrivals = append(l.running, q), append(l.arrivals, q)
		}
	}
}

// endRequests releases the requests that have ended. Those that were turned away are
// sent to another server, once.
func (l *backoffLoad) endRequests(at time.Duration) {
	var ended []backoffRequest
	l.running = slices.DeleteFunc(l.running, func(q backoffRequest) bool {
		if q.endsAt > at {
			return false
		}
		ended = append(ended, q)
		return true
	})
	for _, q := range ended {
		if q.wait == 0 {
			l.answered++
			l.Release(q.entry, Release{ID: q.grant, Outcome: Answered, ElapsedMillis: 50, KeepAliveMillis: 9000}, l.now)
			continue
		}
		l.SetBackoff(q.entry, Backoff{ServerID: q.server, Millis: int(q.wait.Milliseconds())}, l.now)
		l.Release(q.entry, Release{ID: q.grant, Outcome: Refused, ElapsedMillis: 10, KeepAliveMillis: 9000}, l.now)
		l.seq++
		l.Ask(q.entry, Ask{
			Seq: l.seq, Service: "s", ObjectiveMillis: 390, DeadlineMillis: 3990, Retry: true, ExcludedServers: []uint32{q.number},
		}, l.now)
	}
}

// checkBackoffs fails the test if a server got more requests than its backoffs allow.
func (l *backoffLoad) checkBackoffs() {
	l.t.Helper()
	for _, asked := range l.arrivals {
		got := 0
		for _, q := range l.arrivals {
			during := q.at > asked.endsAt+backoffGrace && q.at < asked.endsAt+asked.wait
			if asked.wait > 0 && during && q.server == asked.server && q.entry == asked.entry {
				got++
			}
		}
		if got > backoffSlack {
			l.t.Fatalf("at %v %s asked %s to back off for %v and got %d requests meanwhile, allowed are %d",
				asked.endsAt, asked.server, asked.entry, asked.wait, got, backoffSlack)
		}
	}
}

// TestServersGetNoRequestsDuringBackoff replays a day on which servers turn all requests
// away and ask the entries that sent them to back off.
func TestServersGetNoRequestsDuringBackoff(t *testing.T) {
	first := func(server string) bool { return server == "server0" }
	for name, c := range map[string]struct {
		wait   time.Duration
		server func(server string) bool
		entry  string
		rate   float64
		// answered is the least part of the requests that must be answered.
		answered float64
	}{
		"one server":        {3 * time.Second, first, "", 20, 0.95},
		"short backoffs":    {700 * time.Millisecond, first, "", 20, 0.95},
		"high load":         {3 * time.Second, first, "", 80, 0.95},
		"one entry":         {3 * time.Second, first, "e1", 20, 0.95},
		"most servers":      {3 * time.Second, func(s string) bool { return s != "server3" }, "", 20, 0.85},
		"all servers":       {3 * time.Second, func(string) bool { return true }, "", 20, 0.25},
		"longer than a day": {time.Hour, first, "", 20, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			l := newBackoffLoad(t, func(server, entry string, at time.Duration) time.Duration {
				if at < backoffsFrom || at >= backoffsTo || !c.server(server) || c.entry != "" && entry != c.entry {
					return 0
				}
				return c.wait
			})
			l.rate = c.rate
			l.run()
			l.checkBackoffs()
			if want := int(c.answered * float64(l.sent)); l.answered < want {
				t.Errorf("%d of %d requests were answered, want at least %d", l.answered, l.sent, want)
			}
		})
	}
}

// TestShorterBackoffDoesNotEndALongerOne replays backoffs of 5 s of which some are followed by
// shorter ones, for requests that the server got before it asked for the first.
func TestShorterBackoffDoesNotEndALongerOne(t *testing.T) {
	n := 0
	l := newBackoffLoad(t, func(server, _ string, at time.Duration) time.Duration {
		if server != "server0" || at < backoffsFrom || at >= backoffsTo {
			return 0
		}
		n++
		return []time.Duration{5 * time.Second, 200 * time.Millisecond}[n%2]
	})
	l.rate = 60
	l.run()
	l.checkBackoffs()
}

// TestNoRequestWaitsForBackoffs checks that a request is refused at once, with the time at
// which the first server may be asked again, if all servers ask its entry to back off for
// longer than it may wait: when it arrives, and while it waits for a slot.
func TestNoRequestWaitsForBackoffs(t *testing.T) {
	backOffAll := func(w *testBroker) {
		for n, wait := range []time.Duration{9 * time.Second, 3 * time.Second} {
			w.SetBackoff("e1", Backoff{ServerID: fmt.Sprint("server", n), Millis: int(wait.Milliseconds())}, w.now)
		}
	}
	check := func(o Output) {
		t.Helper()
		if o.Refusal == nil || o.Refusal.RetryMillis < 3000 || o.Refusal.RetryMillis > 4000 {
			t.Errorf("reply %+v, want a refusal until the first backoff ends after 3 s", o.Refusal)
		}
	}
	w := newTestBroker(t, "a", "b")
	backOffAll(w)
	check(w.ask("e1", nil))
	w.granted("e2", nil)

	w = newTestBroker(t, "a", "a")
	for range 4 {
		w.granted("e1", nil)
	}
	if o := w.ask("e1", nil); o.Grant != nil || o.Refusal != nil {
		t.Fatalf("reply %+v, want none", o)
	}
	backOffAll(w)
	check(w.onlyOutput())
}

// TestRequestWaitsForAShortBackoff checks that a request waits for servers that back off for
// less than it may wait.
func TestRequestWaitsForAShortBackoff(t *testing.T) {
	w := newTestBroker(t, "a")
	w.SetBackoff("e1", Backoff{ServerID: "server0", Millis: 50}, w.now)
	if o := w.ask("e1", nil); o.Grant != nil || o.Refusal != nil {
		t.Fatalf("reply %+v, want none yet", o)
	}
	w.now = w.now.Add(60 * time.Millisecond)
	w.Tick(w.now)
	if o := w.onlyOutput(); o.Grant == nil {
		t.Errorf("no grant after the backoff has ended; refusal %+v", o.Refusal)
	}
}

// TestBackoffsOfOneRetry checks that a retry whose first server is the only one that doesn't
// back off is refused at once.
func TestBackoffsOfOneRetry(t *testing.T) {
	w := newTestBroker(t, "a", "a")
	w.SetBackoff("e1", Backoff{ServerID: "server1", Millis: 3000}, w.now)
	first := w.granted("e1", nil)
	w.Release("e1", Release{ID: first.Grant.ID, Outcome: Failed}, w.now)
	o := w.ask("e1", func(a *Ask) { a.Retry, a.ExcludedServers = true, []uint32{first.Grant.Server} })
	if o.Refusal == nil || o.Refusal.Reason != ReasonBackoff {
		t.Errorf("reply %+v, want a refusal for backoff", o)
	}
}

// TestNewBrokerKeepsBackoffs reports backoffs of servers before their records arrive, and
// checks that they outlast a new connection of the entry.
func TestNewBrokerKeepsBackoffs(t *testing.T) {
	w := newTestBroker(t)
	w.SetBackoff("e1", Backoff{ServerID: "server0", Millis: 3000}, w.now)
	w.announce("server0", "a", 0)
	w.Connect("e1", "a", nil, w.now)
	if o := w.ask("e1", nil); o.Refusal == nil || o.Refusal.Reason != ReasonBackoff {
		t.Errorf("reply %+v, want a refusal for backoff", o)
	}
}

// TestBackoffEndsWithItsServer restarts a server that asked for a backoff, under its identifier
// and under another one at its address.
func TestBackoffEndsWithItsServer(t *testing.T) {
	for _, id := range []string{"server0", "server1"} {
		w := newTestBroker(t, "a")
		w.SetBackoff("e1", Backoff{ServerID: "server0", Millis: 3_600_000}, w.now)
		w.RemoveServer("server0")
		w.announce(id, "a", 0)
		w.granted("e1", nil)
	}
}

// TestRelayOfAnEntryThatBacksOff checks that a request is relayed by an entry that the server
// wants requests of, and is refused at once if there is none.
func TestRelayOfAnEntryThatBacksOff(t *testing.T) {
	w := newTestBroker(t, "a")
	for n, name := range []string{"e1", "e2", "e3"} {
		if n == 2 {
			w.Connect(name, "b", nil, w.now)
		}
		w.SetRelayAddress(name, "at "+name)
	}
	w.SetPath("e1", true, w.now)
	w.SetBackoff("e1", Backoff{ServerID: "server0", Millis: 9000}, w.now)
	w.SetBackoff("e2", Backoff{ServerID: "server0", Millis: 3000}, w.now)
	if o := w.granted("e1", nil); o.Relay != "e3" {
		t.Errorf("relayed by %q, want e3", o.Relay)
	}
	w.SetBackoff("e3", Backoff{ServerID: "server0", Millis: 5000}, w.now)
	if o := w.ask("e1", nil); o.Refusal == nil || o.Refusal.Reason != ReasonBackoff || o.Refusal.RetryMillis < 3000 || o.Refusal.RetryMillis > 4000 {
		t.Errorf("reply %+v, want a refusal until e2 may send again", o)
	}
}
