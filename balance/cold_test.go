package balance

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerbarrow/membership"
	"tanagerbarrow/state"
)

// responsesPerExtraRequest is the number of responses after which the capacity of
// a fake grows by one request.
const responsesPerExtraRequest = 4

// fakeServer is a backend server that collapses if more requests run than its
// capacity, which grows with its responses.
type fakeServer struct {
	record    membership.BackendServer
	running   int
	responses int
}

// capacity returns the number of requests that the fake can run at once.
func (f *fakeServer) capacity() int {
	if f.responses >= responsesPerExtraRequest*f.record.Slots {
		return 1 << 20
	}
	return 1 + f.responses/responsesPerExtraRequest
}

// runningRequest is a request on a fake.
type runningRequest struct {
	entry      int
	started    StartedRequest
	generation uint64
}

// coldSimulation is a set of entries, one service and its fakes.
type coldSimulation struct {
	now         time.Time
	names       []string
	entries     []*Loads
	servers     []*fakeServer
	requests    []runningRequest
	sentReports map[[2]int][]Report
}

// newColdSimulation returns a simulation in which every entry knows every fake.
func newColdSimulation(t *rapid.T) *coldSimulation {
	w := &coldSimulation{now: time.Unix(1000, 0), sentReports: map[[2]int][]Report{}}
	n := rapid.IntRange(1, 20).Draw(t, "entries")
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("entry-%d", i))
	}
	for i := range n {
		o := Options{Self: w.names[i], Live: func() []string { return w.names }, LoanTimeout: time.Hour}
		w.entries = append(w.entries, NewLoads(o, w.now))
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
		w.servers = append(w.servers, &fakeServer{record: membership.BackendServer{
			Service: "catalogue", Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9000+i)),
			AvailabilityZone: "a", Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Generation: 1, State: membership.Cold,
		}})
	}
	for i := range w.entries {
		for j := range w.servers {
			w.observe(i, j)
		}
	}
	return w
}

// observe makes an entry discover the current generation of a fake.
func (w *coldSimulation) observe(entry, server int) *Server {
	return w.entries[entry].Server(w.servers[server].record, false, w.now)
}

// start makes an entry send a request to a generation of a fake, which may be an
// earlier one than the current.
func (w *coldSimulation) start(t *rapid.T, entry, server int, generation uint64) {
	f := w.servers[server]
	record := f.record
	record.Generation = generation
	s := w.entries[entry].Server(record, false, w.now)
	share, entries := w.entries[entry].knownEntries()
	if !s.hasRoom(share, entries, 0) {
		s.loanWanted.Store(true)
		return
	}
	started, ok := w.entries[entry].Start(s)
	if !ok {
		return
	}
	if generation != f.record.Generation {
		w.entries[entry].Finish(started, Result{Kind: Broken}, w.now)
		return
	}
	f.running++
	w.requests = append(w.requests, runningRequest{entry: entry, started: started, generation: generation})
	if f.running > f.capacity() {
		t.Fatalf("backend server %s runs %d requests after %d responses, its capacity is %d",
			record.Address, f.running, f.responses, f.capacity())
	}
}

// finish ends a request with a good response, or as broken if its fake
// restarted.
func (w *coldSimulation) finish(at int, took time.Duration) {
	r := w.requests[at]
	w.requests = append(w.requests[:at], w.requests[at+1:]...)
	result := Result{Kind: Broken}
	for _, f := range w.servers {
		if f.record.Address == r.started.Server.Record.Address && f.record.Generation == r.generation {
			f.running--
			f.responses++
			result = Result{Kind: Good, Latency: took}
		}
	}
	w.entries[r.entry].Finish(r.started, result, w.now)
}

// deliver makes a report if the link has none, otherwise delivers its oldest report
// and, unless lost, the reply to it.
func (w *coldSimulation) deliver(from, to int, lost bool) {
	link := [2]int{from, to}
	if len(w.sentReports[link]) == 0 {
		if r, ok := w.entries[from].Report(w.names[to], w.now); ok {
			w.sentReports[link] = append(w.sentReports[link], r)
		}
		return
	}
	r := w.sentReports[link][0]
	w.sentReports[link] = w.sentReports[link][1:]
	reply := w.entries[to].Accept(r, w.now)
	if lost {
		w.entries[from].ReportLost(w.names[to])
		return
	}
	w.entries[from].Acknowledge(w.names[to], r, reply, w.now)
}

func TestColdServersNeverCollapse(t *testing.T) {
	warmed, lent := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newColdSimulation(t)
		entry := rapid.IntRange(0, len(w.entries)-1)
		server := rapid.IntRange(0, len(w.servers)-1)
		for range 400 {
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				f := w.servers[server.Draw(t, "restarted")]
				if rapid.IntRange(0, 9).Draw(t, "rarely") < 3 {
					f.record.Generation++
					f.running, f.responses = 0, 0
				}
			case 1, 2:
				w.observe(entry.Draw(t, "told"), server.Draw(t, "server"))
			case 3, 4, 5:
				w.now = w.now.Add(200 * time.Microsecond)
				w.entries[entry.Draw(t, "ticked")].Tick(w.now)
			case 6, 7, 8, 9, 10:
				from, to := entry.Draw(t, "from"), entry.Draw(t, "to")
				if from != to {
					w.deliver(from, to, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
				}
			case 11, 12, 13, 14, 15:
				at := server.Draw(t, "server")
				old := uint64(rapid.IntRange(0, 1).Draw(t, "old"))
				w.start(t, entry.Draw(t, "sender"), at, max(w.servers[at].record.Generation-old, 1))
			default:
				if len(w.requests) > 0 {
					w.finish(rapid.IntRange(0, len(w.requests)-1).Draw(t, "request"),
						time.Duration(rapid.IntRange(1, 50).Draw(t, "took"))*time.Millisecond)
				}
			}
			for _, r := range w.requests {
				if r.started.loan.ID != 0 {
					lent++
				}
			}
		}
		for _, f := range w.servers {
			if f.responses >= responsesPerExtraRequest*f.record.Slots {
				warmed++
			}
		}
	})
	if warmed == 0 || lent == 0 {
		t.Fatalf("%d backend servers warmed up and %d steps had loans, both are needed", warmed, lent)
	}
}

func TestServerTurnedColdIsFoundWithinFewAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLoads(Options{Self: "e", Live: func() []string { return []string{"e"} }}, now)
	record := membership.BackendServer{
		Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 4, Generation: 1, State: membership.Ready,
	}
	s := l.Server(record, false, now)
	respond := func(took time.Duration) {
		started, ok := l.Start(s)
		if !ok {
			t.Fatal("no room on an idle backend server")
		}
		l.Finish(started, Result{Latency: took}, now)
		l.Tick(now)
	}
	for range 20 {
		respond(10 * time.Millisecond)
	}
	for range slowStreak {
		if s.Cold() {
			t.Fatal("considered cold before enough slow responses")
		}
		respond(100 * time.Millisecond)
	}
	if !s.Cold() || s.coldRoom.Load() != 1 {
		t.Fatalf("after %d slow responses cold is %t and room %d, want admission of one request", slowStreak, s.Cold(), s.coldRoom.Load())
	}
	for range 4 * 4 {
		respond(10 * time.Millisecond)
	}
	if s.Cold() {
		t.Fatal("fast responses do not end the admission")
	}
}

// loadedPair returns two entries of one region that know a ready server.
func loadedPair(now time.Time) (a, b *Loads, onA, onB *Server) {
	live := func() []string { return []string{"a", "b"} }
	a = NewLoads(Options{Self: "a", Live: live}, now)
	b = NewLoads(Options{Self: "b", Live: live}, now)
	record := membership.BackendServer{
		Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 2, Generation: 1, State: membership.Ready,
	}
	return a, b, a.Server(record, false, now), b.Server(record, false, now)
}

func TestCountsOfAPeerAgeUntilItsShareIsAssumed(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, onA, onB := loadedPair(now)
	for range 2 {
		if _, ok := a.Start(onA); !ok {
			t.Fatal("no room")
		}
	}
	a.Tick(now)
	r, ok := a.Report("b", now)
	if !ok || !r.Full {
		t.Fatalf("the first report is %+v, want a full one", r)
	}
	a.Acknowledge("b", r, b.Accept(r, now), now)
	for _, step := range []struct {
		age         time.Duration
		total, room int64
	}{{0, 2, 4}, {freshAge + 1, 1, 5}, {staleAge + 1, 0, 6}, {unreachableAge + 1, 0, 3}} {
		b.Tick(now.Add(step.age))
		if onB.TotalInFlight() != step.total {
			t.Fatalf("after %s the total is %d, want %d", step.age, onB.TotalInFlight(), step.total)
		}
		var started []StartedRequest
		for {
			st, ok := b.Start(onB)
			if !ok {
				break
			}
			started = append(started, st)
		}
		if int64(len(started)) != step.room {
			t.Fatalf("after %s there is room for %d, want %d", step.age, len(started), step.room)
		}
		for _, st := range started {
			b.Finish(st, Result{Kind: Cancelled}, now)
		}
	}
	if _, ok := a.Report("b", now); ok {
		t.Fatal("an unchanged count is reported again at once")
	}
}

func TestPickPrefersTheOwnZoneAndRegionUntilFull(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLoads(Options{Self: "e", Live: func() []string { return []string{"e"} }}, now)
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	zones := []string{"own", "next", "far"}
	for i, zone := range zones {
		view.Services["s"] = append(view.Services["s"], membership.BackendServer{
			Service: "s", Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9000+i)),
			AvailabilityZone: zone, Slots: 2, Generation: 1, State: membership.Ready,
		})
	}
	regions := map[string]string{"own": "home", "next": "home", "far": "away"}
	c := NewChoices(l, view, state.NewConfiguration(), Place{AvailabilityZone: "own", Regions: regions, RoundTrips: DefaultRoundTrips()}, now)
	l.serviceLoad("s").addLatency(10 * time.Millisecond)
	var zonesPicked []string
	for {
		s, full := c.Pick("s", Query{Now: now.UnixNano(), Random: 1 << exploreShift, HomeRegions: []string{"home"}})
		if s == nil {
			if !full {
				t.Fatal("no backend server was picked, but they are not reported as full")
			}
			break
		}
		zonesPicked = append(zonesPicked, s.Record.AvailabilityZone)
		if _, ok := l.Start(s); !ok {
			t.Fatal("no room on a picked backend server")
		}
	}
	if zonesPicked[0] != "own" || len(zonesPicked) != 12 {
		t.Fatalf("picked %q, want the own zone first and 12 in all", zonesPicked)
	}
	s, _ := c.Pick("s", Query{Now: now.UnixNano(), Random: 1 << exploreShift})
	if s == nil || s.Record.AvailabilityZone != "far" {
		t.Fatalf("picked %v, want the other region once this one is full", s)
	}
}
