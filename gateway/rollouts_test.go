package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/broker"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
)

// twoVersions returns an old server with number 1 and a new one with number 2.
func twoVersions() []protocol.Server {
	return []protocol.Server{
		{Number: 1, ID: "old", Service: "s", Address: "10.0.0.1:80", AvailabilityZone: "a", Slots: 4},
		{Number: 2, ID: "new", Service: "s", Address: "10.0.0.2:80", AvailabilityZone: "a", Slots: 4},
	}
}

// chosenAlone returns the servers that may be chosen without a broker.
func chosenAlone(v *view) []string {
	var ids []string
	servers, _ := v.candidatesWithoutBroker("s", &route.Route{}, "a", nil, false, time.Now())
	for _, s := range servers {
		ids = append(ids, s.ID)
	}
	slices.Sort(ids)
	return ids
}

// TestRolloutRulesInEachStage checks which servers an entry uses with a grant and without a broker
// in each stage, after the broker was lost and under the next one.
func TestRolloutRulesInEachStage(t *testing.T) {
	running := []protocol.ServiceRollout{{Service: "s", Position: 5, Stage: "canary"}}
	for name, c := range map[string]struct {
		message        protocol.Rollouts
		alone, granted []string
	}{
		"no roll-out": {protocol.Rollouts{}, []string{"new", "old"}, []string{"new", "old"}},
		"canary":      {protocol.Rollouts{Sequence: 1, Services: running, GrantOnly: []uint32{2}}, []string{"old"}, []string{"new", "old"}},
		"switching":   {protocol.Rollouts{Sequence: 1, Services: running, Excluded: []uint32{1}}, []string{"new"}, []string{"new"}},
		"completed":   {protocol.Rollouts{Sequence: 1, Excluded: []uint32{1}}, []string{"new"}, []string{"new"}},
		"rolled back": {protocol.Rollouts{Sequence: 1, Excluded: []uint32{2}}, []string{"old"}, []string{"old"}},
	} {
		v := newView(nil, nil)
		v.beginTerm(1)
		v.beginRollouts()
		v.applyRollouts(c.message)
		v.applyView(protocol.View{Full: true, Servers: twoVersions()}, time.Now())
		check := func(when string) {
			t.Helper()
			if got := chosenAlone(v); !slices.Equal(got, c.alone) {
				t.Errorf("%s, %s: chosen without a broker are %v, want %v", name, when, got, c.alone)
			}
			var granted []string
			for _, s := range twoVersions() {
				if v.rolloutAllows(&server{Server: s}, true) {
					granted = append(granted, s.ID)
				}
			}
			slices.Sort(granted)
			if !slices.Equal(granted, c.granted) {
				t.Errorf("%s, %s: used with a grant are %v, want %v", name, when, granted, c.granted)
			}
		}
		check("at first")
		v.applyView(protocol.View{Servers: twoVersions()}, time.Now())
		check("after a change of the view")
		v.beginTerm(2)
		v.beginRollouts()
		check("under the next broker, before its view")
	}
}

// TestNextBrokerNumbersServersAnew guards against rules of one broker that are applied to the
// numbers of another one.
func TestNextBrokerNumbersServersAnew(t *testing.T) {
	v := newView(nil, nil)
	v.beginTerm(1)
	v.beginRollouts()
	v.applyRollouts(protocol.Rollouts{Sequence: 1, Excluded: []uint32{1}})
	v.applyView(protocol.View{Full: true, Servers: twoVersions()}, time.Now())
	oldServer := v.server(1)
	v.beginTerm(2)
	v.beginRollouts()
	v.applyRollouts(protocol.Rollouts{Sequence: 1, Excluded: []uint32{2}})
	if got := chosenAlone(v); !slices.Equal(got, []string{"new"}) {
		t.Errorf("before the view of the next broker, chosen are %v", got)
	}
	servers := twoVersions()
	servers[0].Number, servers[1].Number = 2, 1
	v.applyView(protocol.View{Full: true, Servers: servers}, time.Now())
	if got := chosenAlone(v); !slices.Equal(got, []string{"new"}) || v.rolloutAllows(oldServer, true) {
		t.Errorf("under the next broker, chosen are %v, a request for the old server begins: %v", got, v.rolloutAllows(oldServer, true))
	}
	v.applyRollouts(protocol.Rollouts{Sequence: 2, Free: []uint32{2}})
	if got := chosenAlone(v); !slices.Equal(got, []string{"new", "old"}) {
		t.Errorf("after the servers are free again, chosen are %v", got)
	}
}

// TestEntryKeepsToRollout lets a broker grant a server that it has just excluded, and checks what the
// entry tells it: the route in asks, results of both versions, and the end of the last request
// on the excluded server.
func TestEntryKeepsToRollout(t *testing.T) {
	held := make(chan struct{})
	var toOld, toNew atomic.Int32
	oldAddress := scriptedServer(t, func(c net.Conn, r *http.Request) {
		toOld.Add(1)
		<-held
		respond(c, r, 200, "", "old")
	})
	newAddress := scriptedServer(t, func(c net.Conn, r *http.Request) {
		toNew.Add(1)
		respond(c, r, 500, "", "new")
	})
	f := newFakeBroker(t)
	f.config = testConfig()
	f.config.Routes[1].Name = "once"
	f.servers = twoVersions()
	f.servers[0].Address, f.servers[1].Address = oldAddress, newAddress
	services := []protocol.ServiceRollout{{Service: "s", Position: 5, Stage: "canary"}}
	f.beforeView = func(conn *link.Conn) {
		_ = conn.Send(protocol.KindCapabilities, protocol.Capabilities{DetailedAsks: true, Results: true})
		_ = conn.Send(protocol.KindRollouts, protocol.Rollouts{Sequence: 3, Services: services, GrantOnly: []uint32{2}})
	}
	f.decide = func(a broker.Ask) (uint32, *broker.Refusal, bool) {
		if slices.Contains(a.ExcludedServers, 1) {
			return 2, nil, false
		}
		return 1, nil, false
	}
	e := startEntry(t, f, zerolog.Nop())
	first := make(chan string, 1)
	go func() {
		_, body := e.send(t, http.MethodPost, "/once/x", "")
		first <- body
	}()
	f.received(1, func() int { return int(toOld.Load()) })
	f.mu.Lock()
	conn := f.conns[len(f.conns)-1]
	f.mu.Unlock()
	services[0].Stage = "switching"
	_ = conn.Send(protocol.KindRollouts, protocol.Rollouts{Sequence: 4, Services: services, Excluded: []uint32{1}, Free: []uint32{2}})
	f.received(2, func() int { return len(f.confirmations) })
	e.send(t, http.MethodPost, "/once/x", "")
	close(held)
	if body := <-first; body != "old" {
		t.Errorf("the request on the old server ends with %q", body)
	}
	f.received(3, func() int { return len(f.confirmations) })
	f.received(2, func() int { return len(f.results) })
	f.mu.Lock()
	defer f.mu.Unlock()
	want := []protocol.RolloutsConfirmation{{Sequence: 3}, {Sequence: 4, Running: 1}, {Sequence: 4}}
	if !slices.Equal(f.confirmations, want) {
		t.Errorf("confirmed is %v, want %v", f.confirmations, want)
	}
	if toOld.Load() != 1 || toNew.Load() != 1 {
		t.Errorf("%d requests to the old server, %d to the new one", toOld.Load(), toNew.Load())
	}
	if len(f.results) != 2 || f.results[0].Server != 2 || f.results[0].Status != 500 || f.results[0].Outcome != broker.Failed ||
		f.results[1].Server != 1 || f.results[1].Status != 200 || f.results[1].Outcome != broker.Answered || f.results[0].Route != "once" {
		t.Errorf("results are %+v", f.results)
	}
	if len(f.details) < 2 || f.details[0].Route != "once" {
		t.Errorf("the details of asks are %+v", f.details)
	}
}
