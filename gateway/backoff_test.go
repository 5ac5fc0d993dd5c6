package gateway

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
)

// lockedBuffer is a log that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestBackoffsAreLogged checks the log lines of a server that asks for a backoff.
func TestBackoffsAreLogged(t *testing.T) {
	log := &lockedBuffer{}
	busy := scriptedServer(t, func(c net.Conn, r *http.Request) {
		respond(c, r, 503, notRunHeader+": 1\r\n"+retryHeader+": 0.2\r\n", "")
	})
	ready := scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") })
	_, e := setUpWithLog(t, zerolog.New(log), busy, ready)
	e.send(t, http.MethodGet, "/safe/x", "")
	for range 200 {
		if strings.Contains(log.String(), `"event":"server_backoff_ended"`) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, line := range []string{
		`"event":"server_backoff","server":"server-1","service":"s","source":"request","retry_after_ms":200,"for_ms":2`,
		`"event":"server_backoff_ended","server":"server-1","service":"s","checks":0`,
	} {
		if strings.Count(log.String(), line) != 1 {
			t.Errorf("no line %s in\n%s", line, log)
		}
	}
}

// TestEntrySendsNothingDuringBackoff lets a broker that knows of no backoff grant a server
// that has asked this entry for one, in the ways in which servers say so.
func TestEntrySendsNothingDuringBackoff(t *testing.T) {
	const notRun = notRunHeader + ": 1\r\n"
	for name, c := range map[string]struct {
		status int
		header string
		// asks says that the response asks for a backoff.
		asks bool
	}{
		"refusal":                   {503, notRun + retryHeader + ": 30\r\n", true},
		"fraction":                  {503, notRun + retryHeader + ": 29.5\r\n", true},
		"proves nothing":            {503, retryHeader + ": 30\r\n", true},
		"huge":                      {503, notRun + retryHeader + ": 1e9\r\n", true},
		"zero":                      {503, notRun + retryHeader + ": 0\r\n", false},
		"negative":                  {503, notRun + retryHeader + ": -3\r\n", false},
		"no number":                 {503, notRun + retryHeader + ": soon\r\n", false},
		"absent":                    {503, notRun, false},
		"of another kind":           {500, retryHeader + ": 30\r\n", false},
		"of too many of a caller's": {429, notRun + retryHeader + ": 30\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			want := 4
			if c.asks {
				want = 1
			}
			if got := requestsToFirst(t, 4, func(conn net.Conn, r *http.Request) { respond(conn, r, c.status, c.header, "") }); got != want {
				t.Errorf("the server got %d requests, want %d", got, want)
			}
		})
	}
}

// TestAloneChoiceHonorsBackoff chooses without a broker while a server, or all servers, want
// no requests of this entry.
func TestAloneChoiceHonorsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := loadOf{slots: 2, pace: 100}
		chooser := newAloneChooser([]loadOf{idle, idle, idle})
		choose := func() *server {
			s := chooser.choose(t.Context(), "s", &route.Route{}, nil)
			if s != nil {
				chooser.view.finishRequest(s, false, time.Now())
			}
			return s
		}
		chooser.view.backoffs.ask("i-1", sendsRequest, time.Now().Add(3*time.Second))
		for range 30 {
			if s := choose(); s == nil || s.ID == "i-1" {
				t.Fatalf("chose %+v", s)
			}
		}
		chooser.view.backoffs.ask("i-2", sendsRequest, time.Now().Add(10*time.Second))
		chooser.view.backoffs.ask("i-3", sendsRequest, time.Now().Add(10*time.Second))
		if s := choose(); s != nil {
			t.Errorf("chose %+v while all servers back off", s)
		}
		time.Sleep(4 * time.Second)
		if s := choose(); s == nil || s.ID != "i-1" {
			t.Errorf("chose %+v after the first backoff has ended", s)
		}
	})
}

// TestAloneRequestIsRefusedDuringBackoff sends a request without a broker while all servers want
// none of this entry: it is refused with the time at which the first one may be asked.
func TestAloneRequestIsRefusedDuringBackoff(t *testing.T) {
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") }))
	f.mu.Lock()
	f.decide = func(broker.Ask) (uint32, *broker.Refusal, bool) { return 0, nil, true }
	f.mu.Unlock()
	e.view.backoffs.ask("server-1", sendsRequest, time.Now().Add(20*time.Second))
	res, text := e.send(t, http.MethodPost, "/once/x", "b")
	after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if res.StatusCode != http.StatusServiceUnavailable || text != "backoff\n" || after < 15 || after > 20 {
		t.Errorf("got %d %q, Retry-After %v", res.StatusCode, text, after)
	}
}

// TestRelayedRefusalConcernsTheRelay checks that the relay backs off if a server asks for it in
// the response to a relayed request, and that the entry whose request it was doesn't.
func TestRelayedRefusalConcernsTheRelay(t *testing.T) {
	var arrivals atomic.Int32
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		arrivals.Add(1)
		respond(c, r, 503, notRunHeader+": 1\r\n"+retryHeader+": 30\r\n", "")
	}))
	relay := startRelay(t, f)
	for range 3 {
		e.send(t, http.MethodGet, "/safe/x", "")
	}
	s := e.view.server(1)
	entryMaySend, relayMaySend := e.view.acceptsRequests(s, false), relay.view.acceptsRequests(s, false)
	if !entryMaySend || relayMaySend || arrivals.Load() != 1 {
		t.Errorf("the entry may send: %v, the relay: %v, %d requests", entryMaySend, relayMaySend, arrivals.Load())
	}
}

// TestNewBrokerLearnsOfBackoffs checks what an entry tells the broker of a backoff, at once and
// after the connection was lost.
func TestNewBrokerLearnsOfBackoffs(t *testing.T) {
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		respond(c, r, 503, notRunHeader+": 1\r\n"+retryHeader+": 30\r\n", "")
	}))
	e.send(t, http.MethodPost, "/once/x", "b")
	count := func() int { return len(f.backoffs) }
	f.received(1, count)
	f.mu.Lock()
	f.conns[0].Close()
	f.mu.Unlock()
	f.received(2, count)
	f.mu.Lock()
	got := slices.Clone(f.backoffs)
	f.mu.Unlock()
	if len(got) != 2 {
		t.Fatalf("reported %v, want two", got)
	}
	for _, b := range got {
		if b.ServerID != "server-1" || b.Millis < 25_000 || b.Millis > 32_000 {
			t.Errorf("reported %+v", b)
		}
	}
}

// TestChecksBackOffIfACheckSaysSo checks that health checks go on while a server wants no
// requests, and end if it says so in the response to one.
func TestChecksBackOffIfACheckSaysSo(t *testing.T) {
	for kind, want := range map[sendKind]int32{sendsRequest: 1, sendsCheck: 0} {
		var checks atomic.Int32
		_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
			checks.Add(1)
			respond(c, r, 200, "", "")
		}))
		s := e.view.server(1)
		e.observeBackoff(s, http.StatusServiceUnavailable, backend.Report{RetryAfter: time.Minute}, kind)
		err := e.checker.probe(t.Context(), s)
		if checks.Load() != want || (err == nil) != (want == 1) {
			t.Errorf("after a wait asked for in response to a %s: %d checks, error %v", kind, checks.Load(), err)
		}
		if targets := e.view.probeTargets(time.Now()); len(targets) != int(want) {
			t.Errorf("%d servers to probe, want %d", len(targets), want)
		}
	}
}

// TestBackoffEndsWithTheServer applies views in which a server that asked for a backoff stays, is
// removed, restarts, or has the number of another broker.
func TestBackoffEndsWithTheServer(t *testing.T) {
	at := func(number uint32) []protocol.Server {
		return []protocol.Server{{Number: number, ID: "i", Service: "s", Address: "10.0.0.1:80", AvailabilityZone: "a"}}
	}
	for name, c := range map[string]struct {
		next  protocol.View
		term  uint64
		lasts bool
	}{
		"stays":                       {protocol.View{Servers: at(1)}, 1, true},
		"removed":                     {protocol.View{Removed: []uint32{1}}, 1, false},
		"restarts":                    {protocol.View{Servers: at(2), Removed: []uint32{1}}, 1, false},
		"new connection":              {protocol.View{Full: true, Servers: at(1)}, 1, true},
		"broker restarts in its term": {protocol.View{Full: true, Servers: at(2)}, 1, true},
		"another broker":              {protocol.View{Full: true, Servers: at(2)}, 2, true},
	} {
		v := newView(nil, nil)
		now := time.Now()
		v.beginTerm(1)
		v.applyView(protocol.View{Full: true, Servers: at(1)}, now)
		v.backoffs.ask("i", sendsRequest, now.Add(time.Minute))
		v.beginTerm(c.term)
		v.applyView(c.next, now)
		if lasts := v.backoffs.active("i", now); lasts != c.lasts {
			t.Errorf("%s: the backoff lasts: %v", name, lasts)
		}
	}
}

// TestEntriesReturnSpreadOut checks that the entries that a server asked to back off at one time
// don't return at one time, and none early.
func TestEntriesReturnSpreadOut(t *testing.T) {
	report := backend.Report{RetryAfter: 4 * time.Second}
	first, last := backoffOf(503, report, 0), backoffOf(503, report, 1)
	if first < report.RetryAfter || last-first < 400*time.Millisecond || last-first > time.Second {
		t.Errorf("return from %v to %v", first, last)
	}
}

// TestChecksResumeAfterARestart restarts a server that wanted no health checks for a minute, under
// the same identifier.
func TestChecksResumeAfterARestart(t *testing.T) {
	var checks atomic.Int32
	_, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		checks.Add(1)
		respond(c, r, 200, "", "")
	}))
	s := e.view.server(1)
	e.observeBackoff(s, http.StatusServiceUnavailable, backend.Report{RetryAfter: time.Minute}, sendsCheck)
	e.checker.assign(protocol.CheckAssignment{Servers: []uint32{1}})
	now := time.Since(e.checker.started)
	e.checker.startDueChecks(t.Context(), now)
	restarted := s.Server
	restarted.Number = 2
	e.view.applyView(protocol.View{Removed: []uint32{1}, Servers: []protocol.Server{restarted}}, time.Now())
	e.checker.assign(protocol.CheckAssignment{Servers: []uint32{2}})
	e.checker.startDueChecks(t.Context(), now+2*defaultCheckInterval)
	for range 200 {
		if checks.Load() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the server was not checked after its restart")
}
