package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerbarrow/backend"
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
			var arrivals atomic.Int32
			leaver := scriptedServer(t, func(conn net.Conn, r *http.Request) {
				arrivals.Add(1)
				c.answer(conn, r)
			})
			ready := scriptedServer(t, func(conn net.Conn, r *http.Request) { respond(conn, r, 200, "", "x") })
			_, e := setUp(t, leaver, ready)
			for range 4 {
				if res, _ := e.send(t, http.MethodGet, "/safe/x", ""); res.StatusCode != http.StatusOK {
					t.Errorf("status %d", res.StatusCode)
				}
			}
			want := int32(4)
			if c.leaves {
				want = 1
			}
			if got := arrivals.Load(); got != want {
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

// TestAloneChoiceLeavesOutLeavingServers chooses without a broker among servers that have said in
// the response to a request or a check that they leave, and others.
func TestAloneChoiceLeavesOutLeavingServers(t *testing.T) {
	_, e := setUp(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	synctest.Test(t, func(t *testing.T) {
		idle := loadOf{slots: 2, pace: 100}
		chooser := newAloneChooser([]loadOf{idle, idle, idle})
		e.view = chooser.view
		leaving := backend.Report{Leaving: true}
		e.observeLeaving(chooser.view.server(1), http.StatusOK, leaving, sendsRequest)
		e.observeLeaving(chooser.view.server(3), http.StatusServiceUnavailable, leaving, sendsCheck)
		for range 30 {
			s := chooser.choose(t.Context(), "s", &route.Route{}, nil)
			if s == nil || s.Number != 2 {
				t.Fatalf("chose %+v", s)
			}
			chooser.view.finishRequest(s, false, time.Now())
		}
		e.observeLeaving(chooser.view.server(2), http.StatusOK, leaving, sendsRequest)
		if s := chooser.choose(t.Context(), "s", &route.Route{}, nil); s != nil {
			t.Errorf("chose %+v after all have said that they leave", s)
		}
	})
}
