package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
	"tanagerbarrow/serving"
)

// startRelay starts an entry that relays, and makes the broker grant it with each server.
func startRelay(t testing.TB, f *fakeBroker) *testEntry {
	relay := startEntry(t, f, zerolog.Nop())
	e := serving.NewEcho()
	e.Any("/*", relay.serveRelayed)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay = strings.TrimPrefix(server.URL, "http://")
	return relay
}

// TestRelayedRequestGoesThroughUnchanged checks what the server and the caller receive of
// a request that another entry relays.
func TestRelayedRequestGoesThroughUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		seen <- r
		respond(c, r, 201, "Keep-Alive: timeout=5\r\n"+headerRelayResult+": NotRun forged\r\n", "answer")
	}))
	startRelay(t, f)
	res, text := e.send(t, http.MethodPost, "/once/a%2Fb//c?x=%20&y", strings.Repeat("bronze", 10_000))
	r := <-seen
	body, _ := io.ReadAll(r.Body)
	left, _ := strconv.Atoi(r.Header.Get(timeHeader))
	ok := r.Method == http.MethodPost && r.RequestURI == "/once/a%2Fb//c?x=%20&y" && r.Host == "h" &&
		string(body) == strings.Repeat("bronze", 10_000) && r.Header.Get(idHeader) == "id-1" && r.Header.Get("Other") == "kept" &&
		r.Header.Get(expectHeader) == "server-1" && left > 0 && left <= 900
	for name := range r.Header {
		ok = ok && !strings.HasPrefix(name, "Tanagerbarrow-Relay")
	}
	if !ok {
		t.Errorf("the server received %s %s %d bytes %v", r.Method, r.RequestURI, len(body), r.Header)
	}
	if res.StatusCode != http.StatusCreated || text != "answer" || res.Header.Get("Signed") != "yes" || res.Header.Get(headerRelayResult) != "" {
		t.Errorf("the caller received %d %q %v", res.StatusCode, text, res.Header)
	}
	if out := f.releases(1)[0]; out.Outcome != broker.Answered || out.KeepAliveMillis != 0 || out.ResponseBytes != len("answer") {
		t.Errorf("released: %+v", out)
	}
}

// TestRelayThatCannotRelay checks the outcome of requests whose relay refuses, is gone,
// can't reach the server, or breaks off: a 503 must mean that the request has run nowhere.
func TestRelayThatCannotRelay(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *fakeBroker, relay *testEntry)
		// server replaces the relay by a server that answers like this.
		server  func(c net.Conn, r *http.Request)
		status  int
		outcome broker.Outcome
	}{
		"stops":                {prepare: func(_ *fakeBroker, r *testEntry) { r.refuseRequests.Store(true) }, status: 503, outcome: broker.RelayFailed},
		"has no path itself":   {prepare: func(_ *fakeBroker, r *testEntry) { r.path.isLost.Store(true) }, status: 503, outcome: broker.RelayFailed},
		"knows no such server": {prepare: func(_ *fakeBroker, r *testEntry) { r.view.applyView(protocol.View{Full: true}, time.Now()) }, status: 503, outcome: broker.RelayFailed},
		"has its zone out": {prepare: func(_ *fakeBroker, r *testEntry) {
			r.view.applyView(protocol.View{ZonesOut: []string{"a"}}, time.Now())
		}, status: 503, outcome: broker.RelayFailed},
		"is gone":                {prepare: func(f *fakeBroker, _ *testEntry) { f.relay = "127.0.0.1:1" }, status: 503, outcome: broker.RelayFailed},
		"breaks":                 {server: func(c net.Conn, _ *http.Request) { _ = c.Close() }, status: 502, outcome: broker.RelayFailed},
		"is no relay":            {server: func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "not the server's") }, status: 502, outcome: broker.RelayFailed},
		"fails without a result": {server: func(c net.Conn, r *http.Request) { respond(c, r, 500, "", "no") }, status: 502, outcome: broker.RelayFailed},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			f, e := setUp(t, scriptedServer(t, func(conn net.Conn, r *http.Request) {
				runs.Add(1)
				respond(conn, r, 200, "", "whole")
			}))
			relay := startRelay(t, f)
			f.mu.Lock()
			if c.prepare != nil {
				c.prepare(f, relay)
			}
			if c.server != nil {
				f.relay = scriptedServer(t, c.server)
			}
			f.mu.Unlock()
			res, text := e.send(t, http.MethodPost, "/once/x", "b")
			if res.StatusCode != c.status || runs.Load() != 0 {
				t.Errorf("%d %q after %d runs, want %d", res.StatusCode, text, runs.Load(), c.status)
			}
			if out := f.releases(1)[0].Outcome; out != c.outcome {
				t.Errorf("released with outcome %d, want %d", out, c.outcome)
			}
		})
	}
}

// TestUnreachableServerOfARelay checks that the entry that waits for a relay says of a
// server that the relay did not reach what the relay says.
func TestUnreachableServerOfARelay(t *testing.T) {
	f, e := setUp(t, "127.0.0.1:1")
	startRelay(t, f)
	if res, _ := e.send(t, http.MethodPost, "/once/x", "b"); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", res.StatusCode)
	}
	if out := f.releases(1)[0].Outcome; out != broker.Unreachable {
		t.Errorf("released with outcome %d", out)
	}
}

// TestLeavingCallerEndsARelayedRequest closes the caller's connection while the server
// works: the server must see its connection end.
func TestLeavingCallerEndsARelayedRequest(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, _ *http.Request) {
		close(started)
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	}))
	startRelay(t, f)
	r, err := http.NewRequest(http.MethodGet, e.front.URL+"/safe/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(idHeader, "id-1")
	client := &http.Client{Timeout: 400 * time.Millisecond}
	go func() {
		if res, err := client.Do(r); err == nil {
			_ = res.Body.Close()
		}
	}()
	<-started
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Error("the server still works for a caller that has left")
	}
}

// TestLostPathFailsOverToARelay loses the path while requests wait for servers that are
// silent: one that may be repeated moves to a relay at once, one that may run only once
// stays, and the broker learns of it.
func TestLostPathFailsOverToARelay(t *testing.T) {
	var silent atomic.Bool
	var runs atomic.Int32
	silent.Store(true)
	address := scriptedServer(t, func(c net.Conn, r *http.Request) {
		runs.Add(1)
		if silent.Load() {
			time.Sleep(time.Second)
			return
		}
		respond(c, r, 200, "", "whole")
	})
	f, e := setUp(t, address, address)
	startRelay(t, f)
	f.mu.Lock()
	relayAddress := f.relay
	f.relay = ""
	f.mu.Unlock()
	lose := func() {
		silent.Store(false)
		f.mu.Lock()
		f.relay = relayAddress
		f.mu.Unlock()
		e.path.recordProbe(probeResult{probed: 2, silent: true})
	}
	time.AfterFunc(150*time.Millisecond, lose)
	begun := time.Now()
	if res, text := e.send(t, http.MethodGet, "/safe/x", ""); res.StatusCode != http.StatusOK || text != "whole" || time.Since(begun) > 700*time.Millisecond {
		t.Errorf("%d %q after %v", res.StatusCode, text, time.Since(begun))
	}
	got := f.releases(2)
	if got[0].Outcome != broker.PathLost || got[1].Outcome != broker.Answered {
		t.Errorf("released %+v", got)
	}
	f.mu.Lock()
	if len(f.paths) == 0 || !f.paths[len(f.paths)-1].Lost {
		t.Errorf("the broker received %+v", f.paths)
	}
	f.mu.Unlock()
	for range restoringProbes {
		e.path.recordProbe(probeResult{probed: 2, responded: 1})
	}
	silent.Store(true)
	f.mu.Lock()
	f.relay = ""
	f.mu.Unlock()
	runs.Store(0)
	time.AfterFunc(150*time.Millisecond, lose)
	if res, _ := e.send(t, http.MethodPost, "/once/x", "b"); res.StatusCode != http.StatusGatewayTimeout && res.StatusCode != http.StatusBadGateway || runs.Load() != 1 {
		t.Errorf("%d after %d runs", res.StatusCode, runs.Load())
	}
}

// TestRelayWithoutABroker lets an entry without a path and without a broker choose a relay
// itself: one that may hold the request, or none.
func TestRelayWithoutABroker(t *testing.T) {
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "whole") }))
	startRelay(t, f)
	f.mu.Lock()
	relay := f.relay
	f.decide = func(broker.Ask) (uint32, *broker.Refusal, bool) { return 0, nil, true }
	f.mu.Unlock()
	e.path.recordProbe(probeResult{probed: 1})
	if res, _ := e.send(t, http.MethodGet, "/safe/x", ""); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without a relay: %d", res.StatusCode)
	}
	e.view.setRelays([]protocol.Relay{{Address: relay, AvailabilityZone: "a"}})
	if res, text := e.send(t, http.MethodGet, "/safe/x", ""); res.StatusCode != http.StatusOK || text != "whole" {
		t.Errorf("with a relay: %d %q", res.StatusCode, text)
	}
	home := &route.Route{HomeRegions: []string{"west"}}
	for range 20 {
		e.view.setRelays([]protocol.Relay{{Address: relay, AvailabilityZone: "b"}, {Address: relay, AvailabilityZone: "a"}})
		if a := e.view.relayFor("s", home, "a", nil, time.Now()); a == nil || a.server.Number != 1 {
			t.Fatalf("chose %+v", a)
		} else {
			e.view.finishRequest(a.server, false, time.Now())
		}
	}
	e.view.setRelays([]protocol.Relay{{Address: relay, AvailabilityZone: "b"}})
	if a := e.view.relayFor("s", home, "a", nil, time.Now()); a != nil {
		t.Errorf("chose the relay %+v outside the home regions", a)
	}
}
