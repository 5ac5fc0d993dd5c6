package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
	"tanagerbarrow/fleet"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
)

// TestEntrySendsNothingToLeavingServers lets a broker that doesn't know of it grant a server
// that has said that it leaves, in each kind of response.
func TestEntrySendsNothingToLeavingServers(t *testing.T) {
	const leaving = leavingHeader + ": 1\r\n"
	for name, c := range map[string]struct {
		answer func(c net.Conn, r *http.Request)
		// leaves says that the response is the server's own.
		leaves bool
	}{
		"success": {func(c net.Conn, r *http.Request) { respond(c, r, 200, leaving, "x") }, true},
		"failure": {func(c net.Conn, r *http.Request) { respond(c, r, 500, leaving, "") }, true},
		"refusal": {func(c net.Conn, r *http.Request) { respond(c, r, 503, leaving+notRunHeader+": 1\r\n", "") }, true},
		"cut body": {func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 100\r\n\r\nx", idHeader, r.Header.Get(idHeader), leaving)
			_ = c.Close()
		}, true},
		"no leaving":     {func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") }, false},
		"another server": {func(c net.Conn, r *http.Request) { respond(c, r, 421, leaving+notRunHeader+": 1\r\n", "") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			want := 4
			if c.leaves {
				want = 1
			}
			if got := requestsToFirst(t, 4, c.answer); got != want {
				t.Errorf("the server got %d requests, want %d", got, want)
			}
		})
	}
}

// TestRelaysKeepLeavingServersOut checks that both the relay and the entry whose request it was
// send a server nothing more after it has said in a response that it leaves.
func TestRelaysKeepLeavingServersOut(t *testing.T) {
	var arrivals atomic.Int32
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		arrivals.Add(1)
		respond(c, r, 200, leavingHeader+": 1\r\n", "x")
	}))
	relay := startRelay(t, f)
	e.send(t, http.MethodGet, "/safe/x", "")
	e.send(t, http.MethodGet, "/safe/x", "")
	f.mu.Lock()
	f.relay = ""
	f.mu.Unlock()
	e.send(t, http.MethodGet, "/safe/x", "")
	relay.send(t, http.MethodGet, "/safe/x", "")
	if got := arrivals.Load(); got != 1 {
		t.Errorf("the server got %d requests, want 1", got)
	}
}

// idleEntry returns an entry that runs no goroutines, with the given view.
func idleEntry(v *view) *Gateway {
	g := New(Options{
		Settings: &fleet.Settings{Bounds: fleet.DefaultBounds()}, Dialect: testDialect(), Log: zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	g.view = v
	return g
}

// TestAloneChoiceLeavesOutLeavingServers replays a day without a broker on which servers begin to
// leave and say so in their responses: none of them is chosen after its first such response.
func TestAloneChoiceLeavesOutLeavingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := loadOf{slots: 2, pace: 100}
		chooser := newAloneChooser([]loadOf{idle, idle, idle, idle})
		g := idleEntry(chooser.view)
		leavesAt := map[uint32]time.Duration{1: 3 * time.Second, 2: 10 * time.Second, 3: 15 * time.Second}
		left := map[uint32]bool{}
		started := time.Now()
		for time.Since(started) < 20*time.Second {
			s := chooser.choose(t.Context(), "s", &route.Route{}, nil)
			if s == nil || left[s.Number] {
				t.Fatalf("after %v chose %+v", time.Since(started), s)
			}
			at, leaves := leavesAt[s.Number]
			report := backend.Report{Leaving: leaves && time.Since(started) >= at}
			left[s.Number] = report.Leaving
			g.observeLeaving(s, http.StatusOK, report, sendsRequest)
			chooser.view.finishRequest(s, false, time.Now())
			time.Sleep(50 * time.Millisecond)
		}
		if len(left) != 4 || !left[1] || !left[2] || !left[3] {
			t.Errorf("left: %v", left)
		}
		g.observeLeaving(chooser.view.server(4), http.StatusServiceUnavailable, backend.Report{Leaving: true}, sendsCheck)
		if s := chooser.choose(t.Context(), "s", &route.Route{}, nil); s != nil {
			t.Errorf("chose %+v after all have said that they leave", s)
		}
	})
}

// TestDeparturesOutlastTheTerm checks for how long an entry keeps to what a server has said: as long
// as its broker knows that start of the server, and for a time under the next broker.
func TestDeparturesOutlastTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := func(number uint32) []protocol.Server {
			return []protocol.Server{{Number: number, ID: "i", Service: "s", Address: "10.0.0.1:80", AvailabilityZone: "a"}}
		}
		v := newView(nil, nil)
		g := idleEntry(v)
		v.beginTerm(1)
		v.applyView(protocol.View{Full: true, Servers: at(1)}, time.Now())
		g.observeLeaving(v.server(1), http.StatusOK, backend.Report{Leaving: true}, sendsRequest)
		time.Sleep(time.Hour)
		if v.acceptsRequests(v.server(1), false) {
			t.Error("used again under the same broker")
		}
		v.beginTerm(2)
		v.applyView(protocol.View{Full: true, Servers: at(7)}, time.Now())
		if v.acceptsRequests(v.server(7), false) {
			t.Error("used at once by a broker that follows an hour later")
		}
		time.Sleep(departureRetention)
		if !v.acceptsRequests(v.server(7), false) {
			t.Error("not used by the next broker after the retention")
		}
		g.observeLeaving(v.server(7), http.StatusOK, backend.Report{Leaving: true}, sendsRequest)
		v.beginTerm(3)
		v.applyView(protocol.View{Full: true, Servers: at(9)}, time.Now())
		if v.acceptsRequests(v.server(9), false) {
			t.Error("used by the next broker at once")
		}
		v.applyView(protocol.View{Full: true, Servers: at(12)}, time.Now())
		if v.acceptsRequests(v.server(12), false) {
			t.Error("used at once by a broker that restarted in its term")
		}
		v.applyView(protocol.View{Removed: []uint32{12}, Servers: at(10)}, time.Now())
		if !v.acceptsRequests(v.server(10), false) {
			t.Error("another start of the server is not used")
		}
	})
}

// TestNewConnectionRepeatsDepartures checks what an entry tells the broker of a server that leaves,
// at once and after the connection was lost.
func TestNewConnectionRepeatsDepartures(t *testing.T) {
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, leavingHeader+": 1\r\n", "x") }))
	e.send(t, http.MethodGet, "/safe/x", "")
	count := func() int { return len(f.departures) }
	f.received(1, count)
	f.mu.Lock()
	f.conns[0].Close()
	f.mu.Unlock()
	f.received(2, count)
	f.mu.Lock()
	got := slices.Clone(f.departures)
	f.mu.Unlock()
	want := protocol.Leaving{ServerID: "server-1", Number: 1, Term: 1}
	if len(got) != 2 || got[0] != want || got[1] != want {
		t.Errorf("reported %+v, want %+v twice", got, want)
	}
}

// TestGrantOfARemovedServerIsReplaced grants a server that the entry no longer knows, because the
// broker has removed it since: the request must be served by another one.
func TestGrantOfARemovedServerIsReplaced(t *testing.T) {
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") }))
	asks := 0
	f.mu.Lock()
	f.decide = func(broker.Ask) (uint32, *broker.Refusal, bool) {
		asks++
		if asks == 1 {
			return 9, nil, false
		}
		return 1, nil, false
	}
	f.mu.Unlock()
	if res, text := e.send(t, http.MethodPost, "/once/x", "b"); res.StatusCode != http.StatusOK {
		t.Errorf("got %d %q", res.StatusCode, text)
	}
	if r := f.releases(2); r[0].Outcome != broker.Unused || r[1].Outcome != broker.Answered {
		t.Errorf("released %+v", r)
	}
}
