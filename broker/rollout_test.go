package broker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"tanagerbarrow/declare"
	"tanagerbarrow/registry"
	"tanagerbarrow/rollout"
	"tanagerbarrow/route"
)

// rolloutBench is a broker with a service "s" of old and new servers in one zone, in virtual time.
type rolloutBench struct {
	t     *testing.T
	b     *Broker
	now   time.Time
	seq   uint64
	stage declare.RolloutStage
	// service describes the service: how long requests take and which of them new servers fail.
	took  time.Duration
	fails func(s *Server, route string) bool
	// running are the requests in progress, in the order of their ends.
	running []runningRequest
	// granted counts the grants of new and old servers, and moves are the moves that were due.
	granted map[bool]int
	moves   []declare.RolloutMove
	began   time.Time
	// noRoutes makes entries tell no routes, as those of earlier builds.
	noRoutes bool
}

type runningRequest struct {
	id    uint64
	s     *Server
	route string
	ends  time.Time
}

const rolloutDuration = 15 * time.Second

// newRolloutBench returns a broker with servers of both versions and a roll-out in progress.
func newRolloutBench(t *testing.T, old, fresh int) *rolloutBench {
	b := New(Options{
		Regions: map[string]string{"z": "r"}, Zone: "z", RetryRatio: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second,
		Random: rand.New(rand.NewPCG(1, 2)), Exposure: rollout.Bounds{Share: 0.1, Slack: 50},
	})
	r := &rolloutBench{t: t, b: b, now: start, took: 200 * time.Millisecond, granted: map[bool]int{}, stage: declare.RolloutCanary, began: start}
	b.Configure(route.NewIndex(&route.Configuration{Services: []route.Service{{Name: "s", ColdRate: 2}}}), nil, start)
	b.Connect("e", "z", nil, start)
	for n := range old + fresh {
		version := "v1"
		if n >= old {
			version = "v2"
		}
		r.announce(fmt.Sprint(n), version)
	}
	r.set(true)
	return r
}

// announce announces a server.
func (r *rolloutBench) announce(id, version string) *Server {
	return r.b.Announce(registry.Record{BackendServer: registry.BackendServer{
		ID: id, Service: "s", Address: "a" + id, AvailabilityZone: "z", Slots: 6, Version: version,
	}, LastHeartbeat: start.Add(time.Hour)}, r.now)
}

// set tells the broker the stage of the roll-out.
func (r *rolloutBench) set(acceptedHere bool) {
	r.b.SetRollouts([]Rollout{{
		Rollout: declare.Rollout{RolloutOrder: declare.RolloutOrder{Service: "s", TargetVersion: "v2"}, Position: 7, Stage: r.stage},
		Began:   r.began, Due: r.began.Add(rolloutDuration), AcceptedHere: acceptedHere,
	}}, r.now)
}

// ask asks for a request and returns the server that was granted; nil if there was none.
func (r *rolloutBench) ask(d Details, change func(*Ask)) *Server {
	r.seq++
	a := Ask{Seq: r.seq, Service: "s", ObjectiveMillis: 1000, DeadlineMillis: 5000}
	if change != nil {
		change(&a)
	}
	r.b.AskInDetail("e", DetailedAsk{Ask: a, Details: d}, r.now)
	var granted *Server
	for _, o := range r.b.TakeOutputs() {
		if o.Grant == nil {
			continue
		}
		granted = o.Server
		isNew := granted.Record.Version == "v2"
		r.granted[isNew]++
		r.running = append(r.running, runningRequest{o.Grant.ID, granted, d.Route, r.now.Add(r.took)})
	}
	return granted
}

// finish ends the requests that are due to end.
func (r *rolloutBench) finish() {
	for len(r.running) > 0 && !r.running[0].ends.After(r.now) {
		q := r.running[0]
		r.running = r.running[1:]
		outcome := Answered
		if r.fails != nil && r.fails(q.s, q.route) {
			outcome = Failed
		}
		took := int(r.took.Milliseconds())
		r.b.RecordResult("e", Result{Server: q.s.Number, Route: q.route, Outcome: outcome, ElapsedMillis: took, Pace: 100}, r.now)
		r.b.Release("e", Release{ID: q.id, Outcome: outcome, ElapsedMillis: took, Pace: 100}, r.now)
	}
}

// run lets requests arrive at a rate for a time, and makes the moves that are due.
func (r *rolloutBench) run(perSecond int, length time.Duration) {
	gap := time.Second / time.Duration(perSecond)
	nextTick := r.now
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(gap) {
		r.finish()
		details := Details{Route: fmt.Sprint("route-", r.seq%3)}
		if r.noRoutes {
			details.Route = ""
		}
		r.ask(details, nil)
		if !r.now.Before(nextTick) {
			nextTick = r.now.Add(20 * time.Millisecond)
			r.b.Tick(r.now)
			for _, m := range r.b.DueRolloutMoves(r.now) {
				if m.Stage != r.stage {
					r.moves, r.stage = append(r.moves, m), m.Stage
					r.set(true)
				}
			}
		}
	}
}

// isNew reports whether a server is of the new version.
func isNew(s *Server) bool { return s != nil && s.Record.Version == "v2" }

// TestGoodRolloutCompletes rolls out a good version: the canary keeps to its share and reaches all
// new servers, old servers get nothing after the switch, and it is completed in time.
func TestGoodRolloutCompletes(t *testing.T) {
	r := newRolloutBench(t, 20, 20)
	r.run(200, rolloutDuration*2/3)
	if r.stage != declare.RolloutCanary {
		t.Fatalf("the stage is %s after two thirds", r.stage)
	}
	if share := float64(r.granted[true]) / float64(r.granted[true]+r.granted[false]); share > 0.1 || share < 0.03 {
		t.Errorf("the canary's share is %.3f", share)
	}
	for _, s := range r.b.Servers() {
		if isNew(s) && !s.everGranted {
			t.Errorf("new server %d got nothing", s.Number)
		}
	}
	r.run(200, rolloutDuration/3)
	if len(r.moves) != 2 || r.stage != declare.RolloutCompleted {
		t.Fatalf("the moves are %+v", r.moves)
	}
	if s := r.ask(Details{Route: "route-1"}, nil); !isNew(s) {
		t.Errorf("server %+v serves after the end", s)
	}
	if got := r.b.ExcludedServers(); len(got) != 20 || !slices.IsSorted(got) {
		t.Errorf("excluded servers are %v", got)
	}
	if !strings.Contains(r.moves[0].Reason, "requests to new servers") {
		t.Errorf("the reason lacks figures: %s", r.moves[0].Reason)
	}
}

// TestBadRolloutIsRolledBack rolls out a version that fails on one route: it is rolled back after
// few requests, and gets nothing from the verdict on, before it is committed and after.
func TestBadRolloutIsRolledBack(t *testing.T) {
	r := newRolloutBench(t, 20, 20)
	r.fails = func(s *Server, route string) bool { return isNew(s) && route == "route-2" }
	for range 100 {
		r.run(200, 100*time.Millisecond)
		if r.b.rollouts["s"].bad() || r.stage.Ended() {
			break
		}
	}
	if r.stage != declare.RolloutRolledBack {
		t.Fatalf("the moves are %+v; %s", r.moves, r.b.RolloutFigures("s", r.now))
	}
	if r.granted[true] > 60 {
		t.Errorf("%d requests reached the bad version", r.granted[true])
	}
	before := r.granted[true]
	r.run(200, 3*time.Second)
	if r.granted[true] != before {
		t.Errorf("%d further requests reached the bad version", r.granted[true]-before)
	}
	r.announce("late", "v2")
	if got := r.b.ExcludedServers(); len(got) != 21 {
		t.Errorf("%d servers are excluded, want those of the bad version", len(got))
	}
}

// TestCanaryTakesNoRetries keeps requests of old servers that failed, and those of entries that
// send no results, from new servers.
func TestCanaryTakesNoRetries(t *testing.T) {
	r := newRolloutBench(t, 20, 20)
	for range 300 {
		r.now = r.now.Add(5 * time.Millisecond)
		r.finish()
		if s := r.ask(Details{Route: "a"}, func(a *Ask) { a.Retry = true }); isNew(s) {
			t.Fatal("a retry reached the new version")
		}
		if s := r.ask(Details{}, nil); isNew(s) {
			t.Fatal("a request without a route reached the new version")
		}
	}
}

// TestCanaryKeepsWithOldServersFull fills all old servers: the requests that find no slot aren't
// given the new servers, whose slots don't count for the service.
func TestCanaryKeepsWithOldServersFull(t *testing.T) {
	r := newRolloutBench(t, 2, 20)
	for range 200 {
		r.ask(Details{Route: "a"}, nil)
	}
	if r.granted[false] != 12 || r.granted[true] > 20 {
		t.Errorf("%d requests reached old and %d new servers", r.granted[false], r.granted[true])
	}
	p := r.b.pools["s"]
	if all, _, _ := p.slotUsage(r.b, r.now); all != 12 {
		t.Errorf("the service has %d slots, want those of the old servers", all)
	}
}

// TestDeliberateRefusalsAreNoEvidence gives the new version outcomes that say nothing about it.
func TestDeliberateRefusalsAreNoEvidence(t *testing.T) {
	r := newRolloutBench(t, 20, 20)
	for _, o := range []Outcome{Refused, Unreachable, WrongServer, Unused, PathLost, RelayFailed, Abandoned} {
		for number, s := range r.b.Servers() {
			if isNew(s) {
				r.b.RecordResult("e", Result{Server: number, Route: "a", Outcome: o, ElapsedMillis: 10}, r.now)
			}
		}
	}
	if n := r.b.rollouts["s"].decision.Evidence.Answers(); n != 0 {
		t.Errorf("%d outcomes count", n)
	}
}

// TestCrashCountsOnce loses all connections of one new server: that is one failure until it has
// answered again.
func TestCrashCountsOnce(t *testing.T) {
	r := newRolloutBench(t, 20, 20)
	var number uint32
	for n, s := range r.b.Servers() {
		if isNew(s) {
			number = n
		}
	}
	for range 30 {
		r.b.RecordResult("e", Result{Server: number, Route: "a", Outcome: ConnectionLost}, r.now)
	}
	if n := r.b.rollouts["s"].decision.Evidence.Answers(); n != 1 {
		t.Errorf("%d lost connections count", n)
	}
	r.b.RecordResult("e", Result{Server: number, Route: "a", Outcome: Answered, ElapsedMillis: 5}, r.now)
	r.b.RecordResult("e", Result{Server: number, Route: "a", Outcome: ConnectionLost}, r.now)
	if n := r.b.rollouts["s"].decision.Evidence.Answers(); n != 3 {
		t.Errorf("%d results count after the server answered", n)
	}
}

// TestNewBrokerKeepsTheShare changes the broker every second: each counts its canary anew from
// its own requests, so that their sum keeps to the share.
func TestNewBrokerKeepsTheShare(t *testing.T) {
	all, canary := 0, 0
	for term := range 10 {
		r := newRolloutBench(t, 20, 20)
		r.now = r.now.Add(time.Duration(term) * time.Second)
		delete(r.b.rollouts, "s")
		r.set(false)
		r.run(200, time.Second)
		all, canary = all+r.granted[true]+r.granted[false], canary+r.granted[true]
	}
	if float64(canary) > 0.1*float64(all) {
		t.Errorf("%d of %d requests reached the new version", canary, all)
	}
}

// TestSwitchWaitsForRoom has too few new servers for the load: they aren't switched to.
func TestSwitchWaitsForRoom(t *testing.T) {
	r := newRolloutBench(t, 20, 4)
	r.run(200, rolloutDuration+3*time.Second)
	if r.stage != declare.RolloutCanary {
		t.Fatalf("the stage is %s: %+v", r.stage, r.moves)
	}
	if f := r.b.RolloutFigures("s", r.now); !strings.Contains(f, "too little room") {
		t.Errorf("the figures are %s", f)
	}
	for n := range 16 {
		r.announce(fmt.Sprint("more", n), "v2")
	}
	r.run(200, 5*time.Second)
	if r.stage != declare.RolloutCompleted {
		t.Errorf("the stage is %s with enough room", r.stage)
	}
}

// TestServicesWithoutRolloutIgnoreVersions serves another service as before.
func TestServicesWithoutRolloutIgnoreVersions(t *testing.T) {
	r := newRolloutBench(t, 1, 1)
	r.b.SetRollouts([]Rollout{{Rollout: declare.Rollout{RolloutOrder: declare.RolloutOrder{Service: "other", TargetVersion: "v2"}, Position: 9, Stage: declare.RolloutCanary}}}, r.now)
	delete(r.b.rollouts, "s")
	for range 12 {
		r.ask(Details{}, nil)
	}
	if r.granted[true] != 6 || r.granted[false] != 6 || len(r.b.GrantOnlyServers()) != 0 {
		t.Errorf("granted %v, %v with a grant only", r.granted, r.b.GrantOnlyServers())
	}
}

// TestRolloutsEnd ends roll-outs that can't go on: of a version without servers, of one that gets
// no evidence, and of one whose servers are lost after the switch.
func TestRolloutsEnd(t *testing.T) {
	r := newRolloutBench(t, 20, 0)
	r.run(200, 2*rolloutDuration-time.Second)
	if r.stage != declare.RolloutCanary {
		t.Fatalf("the moves are %+v", r.moves)
	}
	r.run(200, 2*time.Second)
	if r.stage != declare.RolloutRolledBack {
		t.Errorf("the stage without new servers is %s", r.stage)
	}

	r = newRolloutBench(t, 20, 0)
	r.now = start.Add(3 * rolloutDuration)
	delete(r.b.rollouts, "s")
	r.set(false)
	r.run(200, 2*time.Second)
	if r.stage != declare.RolloutCanary {
		t.Errorf("the stage under a new broker is %s", r.stage)
	}

	r = newRolloutBench(t, 20, 20)
	r.noRoutes = true
	r.run(200, 2*rolloutDuration-time.Second)
	if r.stage != declare.RolloutCanary {
		t.Fatalf("the moves are %+v", r.moves)
	}
	r.run(200, 2*time.Second)
	if r.stage != declare.RolloutRolledBack || r.granted[true] > 0 {
		t.Errorf("the stage without evidence is %s, %d requests reached new servers", r.stage, r.granted[true])
	}

	r = newRolloutBench(t, 20, 20)
	for r.stage == declare.RolloutCanary {
		r.run(200, 100*time.Millisecond)
	}
	for id, s := range r.b.byID {
		if isNew(s) {
			r.b.RemoveServer(id)
		}
	}
	r.run(200, 3*time.Second)
	if r.stage != declare.RolloutRolledBack {
		t.Errorf("the stage without new servers after the switch is %s", r.stage)
	}
	if s := r.ask(Details{Route: "a"}, nil); s == nil || isNew(s) {
		t.Errorf("server %+v serves", s)
	}
}

// TestUnknownVersionsWait gives a server of unknown version nothing until its version had the time to
// arrive, unless most servers are unknown.
func TestUnknownVersionsWait(t *testing.T) {
	r := newRolloutBench(t, 2, 2)
	late := r.announce("late", "")
	used := func(length time.Duration) int {
		before := late.activeGrants
		for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
			r.finish()
			r.b.Tick(r.now)
			r.ask(Details{Route: "a"}, nil)
		}
		return max(before, late.activeGrants)
	}
	if n := used(2 * time.Second); n > 0 {
		t.Errorf("%d requests run on a server of unknown version", n)
	}
	if n := used(4 * time.Second); n == 0 {
		t.Error("a server of unknown version is never used")
	}
	for n := range 4 {
		r.announce(fmt.Sprint("unknown", n), "")
	}
	r.b.Tick(r.now)
	if got := r.b.GrantOnlyServers(); len(got) != 2 {
		t.Errorf("%v need a grant, want the new ones", got)
	}
}
