package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"tanagerbarrow/broker"
)

// fakeClock is a clock that the test advances.
type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) time() time.Duration { return time.Duration(c.now.Load()) }

func (c *fakeClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// TestPauseIsDetected advances the clock by steps and by a jump, as after a
// suspension. Only the jump is a pause, a request detects it before the next periodic
// check does, and the view counts as outdated until it is renewed or the wait ends.
func TestPauseIsDetected(t *testing.T) {
	clock := &fakeClock{}
	var pauses []time.Duration
	d := newPauseDetector(clock.time, func(paused time.Duration) { pauses = append(pauses, paused) })
	for range 50 {
		clock.advance(minPause / 2)
		d.check(true)
	}
	if len(pauses) > 0 || d.viewOutdated() {
		t.Fatalf("steps of %v count as pauses: %v", minPause/2, pauses)
	}
	clock.advance(5 * time.Second)
	if !d.viewOutdated() || len(pauses) != 1 || pauses[0] != 5*time.Second {
		t.Fatalf("after a jump: %v", pauses)
	}
	d.check(true)
	if len(pauses) != 1 {
		t.Errorf("one pause was detected %d times", len(pauses))
	}
	d.viewRenewed()
	if d.viewOutdated() {
		t.Error("the renewed view counts as outdated")
	}
	clock.advance(5 * time.Second)
	if !d.viewOutdated() {
		t.Error("the second pause was not detected")
	}
	for range 2 * outdatedViewTimeout / minPause {
		clock.advance(minPause / 2)
		d.check(true)
	}
	clock.advance(minPause / 2)
	if d.viewOutdated() {
		t.Errorf("the view counts as outdated longer than %v", outdatedViewTimeout)
	}
}

// TestPausedEntryChoosesNoServer lets an entry wake up after a pause while its broker
// does not answer: it must not choose servers by the view from before the pause, which
// may have left or be in a zone that is out, and must refuse as not run.
func TestPausedEntryChoosesNoServer(t *testing.T) {
	var runs atomic.Int32
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		runs.Add(1)
		respond(c, r, 200, "", "whole")
	}))
	if res, _ := e.send(t, http.MethodGet, "/safe/x", ""); res.StatusCode != http.StatusOK {
		t.Fatalf("before the pause: %d", res.StatusCode)
	}
	_ = f.listener.Close()
	f.mu.Lock()
	f.decide = func(broker.Ask) (uint32, *broker.Refusal, bool) { return 0, nil, true }
	f.mu.Unlock()
	e.pauses.mu.Lock()
	e.pauses.checked -= 3 * time.Second
	e.pauses.mu.Unlock()
	runs.Store(0)
	res, text := e.send(t, http.MethodPost, "/once/x", "b")
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || runs.Load() > 0 {
		t.Errorf("%d %q, %d runs", res.StatusCode, text, runs.Load())
	}
	time.Sleep(outdatedViewTimeout)
	if res, text := e.send(t, http.MethodPost, "/once/x", "b"); res.StatusCode != http.StatusOK {
		t.Errorf("without a broker for %v: %d %q", outdatedViewTimeout, res.StatusCode, text)
	}
}

// TestExpiredGrantIsNotUsed pauses an entry between the broker's grant and the first
// byte of the request: the server that was granted may have been given to others, so
// nothing may be sent to it, and the grant is released as unused.
func TestExpiredGrantIsNotUsed(t *testing.T) {
	var runs atomic.Int32
	f, e := setUp(t, scriptedServer(t, func(c net.Conn, r *http.Request) {
		runs.Add(1)
		respond(c, r, 200, "", "whole")
	}))
	k := &callerRequest{
		id: "id-1", request: &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/once/x", Header: http.Header{}},
		route: &testConfig().Routes[1], service: "s", arrived: time.Now(), deadline: time.Now().Add(time.Minute),
	}
	a, _, err := e.nextAttempt(t.Context(), k, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !a.mayStart() {
		t.Fatal("a new grant can't be used")
	}
	// A pause leaves less time than none.
	a.startBy -= 5 * time.Second
	if _, err := e.sendAttempt(t.Context(), k, a); err == nil || k.attemptsReached > 0 {
		t.Errorf("error %v, %d attempts reached a server", err, k.attemptsReached)
	}
	if out := f.releases(1)[0]; out.Outcome != broker.Unused || runs.Load() > 0 {
		t.Errorf("released: %+v, %d runs", out, runs.Load())
	}
}
