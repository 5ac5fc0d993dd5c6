package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
)

// TestPathIsProbedOnlyWhenServersFailTogether checks which failures make an entry probe
// its path: not those of one server, nor those between responses of others.
func TestPathIsProbedOnlyWhenServersFailTogether(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		known  int
		events func(p *pathState)
		want   bool
	}{
		"nothing":                    {5, func(*pathState) {}, false},
		"one silent server":          {5, func(p *pathState) { p.failed(1, false, at(0)); p.failed(1, false, at(50)) }, false},
		"two silent servers":         {5, func(p *pathState) { p.failed(1, false, at(0)); p.failed(2, false, at(50)) }, true},
		"the only server":            {1, func(p *pathState) { p.failed(1, false, at(0)) }, true},
		"no server known":            {0, func(p *pathState) { p.failed(1, false, at(0)); p.failed(2, false, at(0)) }, false},
		"a response in between":      {5, func(p *pathState) { p.failed(1, false, at(0)); p.responded(at(10)); p.failed(2, false, at(50)) }, false},
		"refusals despite responses": {5, func(p *pathState) { p.failed(1, true, at(0)); p.responded(at(10)); p.failed(2, true, at(50)) }, true},
		"refusals long ago":          {5, func(p *pathState) { p.failed(1, true, at(-3000)); p.failed(2, true, at(50)) }, false},
	} {
		p := newPathState()
		c.events(&p)
		if got := p.probeDue(c.known, at(100)); got != c.want {
			t.Errorf("%s: a probe is due: %v, want %v", name, got, c.want)
		}
	}
}

// TestPathIsLostAndRestored replays a cut: one probe without a response loses the path,
// and two in a row with one restore it. Responses on old connections don't.
func TestPathIsLostAndRestored(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPathState()
	p.failed(1, true, now)
	p.failed(2, true, now)
	if !p.probed(false, now) || !p.lost {
		t.Fatal("the path is not lost")
	}
	p.responded(now)
	for n, step := range []struct{ response, lost bool }{{true, true}, {false, true}, {true, true}, {true, false}} {
		now = now.Add(lostProbePause)
		if !p.probeDue(5, now) {
			t.Fatalf("step %d: no probe is due while the path is lost", n)
		}
		if changed := p.probed(step.response, now); p.lost != step.lost || changed != !step.lost {
			t.Errorf("step %d: lost %v, changed %v", n, p.lost, changed)
		}
	}
	if p.probeDue(5, now.Add(time.Minute)) {
		t.Error("a probe is due although the path was restored")
	}
}

// TestFalseAlarmsCostFewProbes lets two servers fail all the time while others respond:
// probes must become rare, and a loss must still be found within the time for it.
func TestFalseAlarmsCostFewProbes(t *testing.T) {
	start := time.Unix(1000, 0)
	p, probes := newPathState(), 0
	const cutAt, length = 30 * time.Second, 40 * time.Second
	var lostAt time.Duration
	for at := time.Duration(0); at < length && lostAt == 0; at += 50 * time.Millisecond {
		now := start.Add(at)
		p.failed(1, true, now)
		p.failed(2, true, now)
		if !p.probeDue(20, now) {
			continue
		}
		probes++
		if p.probed(at < cutAt, now) {
			lostAt = at
		}
	}
	if probes > 18 {
		t.Errorf("%d probes in 30 s", probes)
	}
	if lostAt == 0 || lostAt-cutAt > maxProbePause+100*time.Millisecond {
		t.Errorf("a path that was lost at %v was found lost at %v", cutAt, lostAt)
	}
}

// TestProbesAreSpreadOverZones checks that a probe asks servers of different zones, and
// limited ones last.
func TestProbesAreSpreadOverZones(t *testing.T) {
	v := newView(nil, nil)
	for n := range 12 {
		v.servers[uint32(n)] = &server{Server: protocol.Server{Number: uint32(n), ID: fmt.Sprint("i-", n), AvailabilityZone: fmt.Sprint("z", n%3)}}
	}
	v.servers[0].limit = broker.RequestLimit{PerSecond: 1, Sources: broker.LimitFromChecks}
	for range 20 {
		targets := v.probeTargets(time.Now())
		zones := map[string]bool{}
		for _, s := range targets[:3] {
			zones[s.AvailabilityZone] = true
		}
		if len(targets) != 12 || len(zones) != 3 || targets[11].Number != 0 {
			t.Fatalf("%d targets, the first of zones %v, the last is %d", len(targets), zones, targets[11].Number)
		}
	}
}

// TestWaitingRequestMakesEntryCheckServers lets a request wait on an entry that checks no
// server itself: two silent servers must lead to a probe, but not if one responds.
func TestWaitingRequestMakesEntryCheckServers(t *testing.T) {
	for _, responds := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			v := newView(nil, map[string]string{"a": "west", "b": "east"})
			for n, zone := range []string{"a", "b", "b", "a"} {
				v.servers[uint32(n)] = &server{Server: protocol.Server{Number: uint32(n), AvailabilityZone: zone}, region: v.regions[zone]}
			}
			m := newPathMonitor(v, "a", zerolog.Nop())
			checked := make(chan uint32, 9)
			m.check = func(_ context.Context, s *server) {
				checked <- s.Number
				if responds {
					m.responded()
					return
				}
				m.failed(s, false)
			}
			end := m.watchRequest(t.Context(), v.servers[0])
			time.Sleep(requestSilence + time.Millisecond)
			synctest.Wait()
			end()
			if len(checked) != 2 || <-checked+<-checked != 3 {
				t.Error("the request's server and the other one of the zone were not checked")
			}
			if due := m.state.probeDue(4, time.Now()); due == responds {
				t.Errorf("servers respond: %v, a probe is due: %v", responds, due)
			}
			m.responded()
			end = m.watchRequest(t.Context(), v.servers[0])
			time.Sleep(requestSilence / 2)
			m.responded()
			time.Sleep(requestSilence)
			synctest.Wait()
			end()
			if len(checked) != 0 {
				t.Error("servers were checked although one responded meanwhile")
			}
			v.servers[0].limit = broker.RequestLimit{PerSecond: 1, Sources: broker.LimitFromRequests}
			end = m.watchRequest(t.Context(), v.servers[0])
			time.Sleep(requestSilence + time.Millisecond)
			synctest.Wait()
			end()
			if len(checked) != 2 || <-checked == 0 || <-checked == 0 {
				t.Error("a server that names a request limit was checked, or fewer than two others")
			}
		})
	}
}

// TestCongestedPathIsNotLost probes servers that respond late, as over a link full of
// uploads: the path must not be lost, and one that delivers nothing is.
func TestCongestedPathIsNotLost(t *testing.T) {
	for delay, lost := range map[time.Duration]bool{500 * time.Millisecond: false, time.Hour: true} {
		synctest.Test(t, func(t *testing.T) {
			v := newView(nil, nil)
			for n := range 6 {
				v.servers[uint32(n)] = &server{Server: protocol.Server{Number: uint32(n), AvailabilityZone: fmt.Sprint("z", n)}}
			}
			m := newPathMonitor(v, "z0", zerolog.Nop())
			m.onChange = func(bool) {}
			m.probe = func(ctx context.Context, _ *server) error {
				select {
				case <-time.After(delay):
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			for n := range uint32(2) {
				m.failed(v.servers[n], false)
			}
			begun := time.Now()
			m.step(t.Context())
			if m.lost() != lost || time.Since(begun) > probeTimeout {
				t.Errorf("servers respond after %v, lost: %v after %v", delay, m.lost(), time.Since(begun))
			}
		})
	}
}
