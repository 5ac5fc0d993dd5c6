package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/bench/load"
	"tanagerbarrow/bench/standin"
	"tanagerbarrow/entry"
	"tanagerbarrow/membership"
	"tanagerbarrow/operator"
	"tanagerbarrow/request"
	"tanagerbarrow/serving"
	"tanagerbarrow/state"
	"tanagerbarrow/verdict"
)

// zoneSize has three entries in three zones of one region and one in another region.
var zoneSize = cluster.Size{
	Controls: 1, Entries: 4,
	Zones:         map[string]string{"a": "north", "b": "north", "c": "north", "d": "south"},
	ZoneOrder:     []string{"a", "b", "c", "d"},
	ExtraSettings: "[limits]\nstop-delay = 1s",
}

// traffic is load on a system, sent in the background.
type traffic struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu     sync.Mutex
	sent   int
	failed []load.Outcome
}

// startTraffic sends reads through those of the entries that are ready.
func startTraffic(entries []cluster.Process, name, path string) *traffic {
	var all []load.Entry
	for _, e := range entries {
		all = append(all, load.Entry{Name: e.Name, Caller: e.Caller.String(), Admin: e.Admin.String()})
	}
	frontend := load.NewBalancer(all)
	ctx, stop := context.WithCancel(context.Background())
	t := &traffic{stop: stop}
	t.done.Go(func() { frontend.Run(ctx) })
	g := &load.Generator{
		Balancer: frontend, Rate: 100, Seed: 1, Timeout: 10 * time.Second,
		Mix: []load.Kind{{Name: "read", Weight: 1, Method: http.MethodGet, Path: path, Account: "x"}},
	}
	t.done.Go(func() {
		for ctx.Err() == nil {
			g.Run(context.WithoutCancel(ctx), name, 200*time.Millisecond, t.record)
		}
	})
	return t
}

// record counts an outcome and keeps it if the request failed.
func (t *traffic) record(o load.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if !o.OK() {
		t.failed = append(t.failed, o)
	}
}

// count returns how many requests have ended.
func (t *traffic) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

// end stops the traffic and checks that no request failed.
func (t *traffic) end(tb testing.TB) {
	tb.Helper()
	t.stop()
	t.done.Wait()
	for i, o := range t.failed {
		if i < 5 {
			tb.Errorf("request %s after %s: status %d, verdict %q: %s", o.Token, o.Latency, o.Status, o.Verdict, o.Failure)
		}
	}
	if len(t.failed) > 0 {
		tb.Errorf("%d of %d requests failed", len(t.failed), t.sent)
	}
}

// changeAndWait plans and confirms an intent and waits until it is in force on every
// entry.
func (s *system) changeAndWait(kind state.IntentKind, subject string, extra ...string) {
	s.t.Helper()
	var p state.Plan
	s.runJSON(&p, append([]string{"plan", string(kind), subject}, extra...)...)
	var a state.Answer
	s.runJSON(&a, "confirm", p.ID, p.Digest)
	s.eventually("the change is in force everywhere", func() bool {
		var got operator.Status
		s.runJSON(&got, "status")
		for _, e := range s.Entries {
			if got.HostVersions[e.Name] < a.Version {
				return false
			}
		}
		return true
	})
}

// startStandInsInZones starts a number of stand-ins of a service in each zone.
func (s *system) startStandInsInZones(service string, perZone int) map[string][]*standin.Server {
	all := map[string][]*standin.Server{}
	for _, zone := range zoneSize.ZoneOrder {
		for range perZone {
			b := s.startStandIn(service, zone)
			b.SetScript(standin.Script{ServiceMillis: 2})
			all[zone] = append(all[zone], b)
		}
	}
	return all
}

// arrivals returns how many requests arrived at the stand-ins since a time.
func arrivals(all []*standin.Server, since time.Time) int {
	n := 0
	for _, b := range all {
		n += b.ArrivalsSince(since)
	}
	return n
}

// waitForRequests waits until every stand-in has received a request after the call.
func (s *system) waitForRequests(all []*standin.Server) {
	s.t.Helper()
	since := time.Now()
	s.eventually("every backend server receives requests", func() bool {
		for _, b := range all {
			if b.ArrivalsSince(since) == 0 {
				return false
			}
		}
		return true
	})
}

// checkNoRequests checks that the stand-ins receive no request while a number of
// requests of the traffic end.
func (s *system) checkNoRequests(t *traffic, all []*standin.Server, requests int) {
	s.t.Helper()
	// Requests for which an entry chose a backend server before the change was in
	// force may still arrive.
	for start := t.count(); t.count() < start+requests; time.Sleep(5 * time.Millisecond) {
	}
	since := time.Now()
	for start := t.count(); t.count() < start+requests; time.Sleep(5 * time.Millisecond) {
	}
	if n := arrivals(all, since); n > 0 {
		s.t.Errorf("%d requests arrived at backend servers that may receive none", n)
	}
}

func TestZoneOutAndBackUnderLoad(t *testing.T) {
	s := startSystem(t, zoneSize)
	backends := s.startStandInsInZones("catalogue", 2)
	s.admit("catalogue")
	north := s.Entries[:3]
	traffic := startTraffic(north, "zone", "/catalogue/bells")
	s.waitForRequests(backends["a"])

	s.changeAndWait(state.TakeZoneOut, "a")
	s.checkNoRequests(traffic, backends["a"], 60)
	url := "http://" + north[0].Admin.String() + serving.ReadyPath
	if got := statusOf(url); got != http.StatusServiceUnavailable {
		t.Errorf("the entry in the zone answers readiness with %d", got)
	}
	got, err := http.Get("http://" + north[0].Caller.String() + "/catalogue/bells")
	if err != nil || got.StatusCode != http.StatusOK || !got.Close {
		t.Errorf("the entry in the zone does not serve the request and close the connection: %+v, %v", got, err)
	} else {
		_ = got.Body.Close()
	}

	// The zone is brought back and taken out in quick succession: the last change is
	// in force.
	s.changeAndWait(state.BringZoneBack, "a")
	s.changeAndWait(state.TakeZoneOut, "a")
	s.checkNoRequests(traffic, backends["a"], 60)

	// A second zone fails while the first is out.
	for _, b := range backends["b"] {
		b.Close()
	}
	s.waitForRequests(backends["c"])
	s.changeAndWait(state.BringZoneBack, "a")
	s.waitForRequests(backends["a"])
	s.eventually("the entry in the zone is ready", func() bool { return statusOf(url) == http.StatusOK })
	traffic.end(t)
}

func TestLeavingServersGetNoNewWork(t *testing.T) {
	s := startSystem(t, zoneSize)
	backends := s.startStandInsInZones("catalogue", 1)
	s.admit("catalogue")
	traffic := startTraffic(s.Entries[:3], "leave", "/catalogue/bells")
	s.waitForRequests(backends["a"])
	s.waitForRequests(backends["b"])

	backends["a"][0].Leave()
	s.eventually("no entry lists the server that left", func() bool { return !s.listed(backends["a"][0]) })
	s.checkNoRequests(traffic, backends["a"], 60)
	backends["b"][0].SetScript(standin.Script{ServiceMillis: 2, Draining: true})
	s.eventually("no entry lists the server that drains", func() bool { return !s.listed(backends["b"][0]) })
	s.checkNoRequests(traffic, backends["b"], 60)
	traffic.end(t)
}

// hostStatus returns the status of a host in the member list of an entry. A host that
// is not listed counts as alive.
func (s *system) hostStatus(on cluster.Process, host string) membership.Status {
	for _, h := range s.membersOf(on).Hosts {
		if h.Host == host {
			return h.Status
		}
	}
	return membership.Alive
}

// members returns the backend servers in the member list of an entry.
func (s *system) members(e cluster.Process) []entry.Member { return s.membersOf(e).Servers }

// membersOf returns the member list of an entry: its backend servers and hosts.
func (s *system) membersOf(e cluster.Process) entry.Members {
	s.t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+e.Admin.String()+entry.MembersPath, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+cluster.OperatorKey)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var got entry.Members
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		s.t.Fatal(err)
	}
	return got
}

// listed reports whether any entry lists a backend server as usable.
func (s *system) listed(b *standin.Server) bool {
	for _, e := range s.Entries {
		for _, m := range s.members(e) {
			if m.Address == b.Address() {
				return true
			}
		}
	}
	return false
}

func TestServersOfServicesNotAdmittedAreHeld(t *testing.T) {
	s := startSystem(t, smallSize)
	b := s.startStandIn("unknown", "a")
	s.eventually("the backend server is known", func() bool { return s.listed(b) })
	for _, m := range s.members(s.Entries[0]) {
		if !m.Unadmitted {
			t.Errorf("%+v is not held", m)
		}
	}
	s.eventually("status shows the backend server as held", func() bool {
		var got operator.Status
		s.runJSON(&got, "status")
		return len(got.UnadmittedServers) == 1 && got.UnadmittedServers[0].Service == "unknown" && got.UnadmittedServers[0].Servers == 1
	})
	got, err := send(s.Entries[0], http.MethodGet, "/unknown/x", nil, nil)
	if err != nil || got.status != http.StatusNotFound || b.Counters().Arrived > 0 {
		t.Errorf("got %d, %v, and the backend server got %d requests", got.status, err, b.Counters().Arrived)
	}
}

func TestGracefulStopOfAnEntry(t *testing.T) {
	size := zoneSize
	size.ExtraSettings = "[limits]\nstop-delay = 4s"
	s := startSystem(t, size)
	backends := s.startStandInsInZones("catalogue", 1)
	s.admit("catalogue")
	traffic := startTraffic(s.Entries[:3], "stop", "/catalogue/bells")
	s.waitForRequests(backends["a"])
	stopped := s.processes[s.Entries[0].Name]
	if err := stopped.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	url := "http://" + s.Entries[0].Admin.String() + serving.ReadyPath
	s.eventually("the entry is unready", func() bool { return statusOf(url) == http.StatusServiceUnavailable })
	got, err := http.Get("http://" + s.Entries[0].Caller.String() + "/catalogue/bells")
	if err != nil || got.StatusCode != http.StatusOK || !got.Close {
		t.Errorf("the unready entry does not serve the request and close the connection: %+v, %v", got, err)
	} else {
		_ = got.Body.Close()
	}
	if err := stopped.Wait(); err != nil {
		t.Errorf("the entry did not stop cleanly: %v", err)
	}
	delete(s.processes, s.Entries[0].Name)
	s.waitForRequests(backends["a"])
	traffic.end(t)
}

// A suspended entry is detected as dead without removing any backend server from the
// other entries, and is alive again soon after it continues.
func TestFrozenEntryIsFoundDeadAndReturns(t *testing.T) {
	s := startSystem(t, zoneSize)
	backends := s.startStandInsInZones("catalogue", 1)
	s.admit("catalogue")
	frozen, awake := s.Entries[0], s.Entries[1:3]
	traffic := startTraffic(awake, "frozen", "/catalogue/bells")
	s.waitForRequests(backends["a"])
	if err := s.processes[frozen.Name].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for _, e := range awake {
		s.eventually("the frozen entry is dead", func() bool { return s.hostStatus(e, frozen.Name) == membership.Dead })
	}
	s.waitForRequests(backends["a"])
	if err := s.processes[frozen.Name].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for _, e := range awake {
		s.eventually("the entry is alive", func() bool { return s.hostStatus(e, frozen.Name) == membership.Alive })
	}
	s.eventually("the entry serves", func() bool { return len(serversSeen(frozen, 20)) > 0 })
	s.waitForRequests(backends["a"])
	traffic.end(t)
}

// Requests with home regions never leave them, even if the home region has no backend
// server left.
func TestLostHomeRegion(t *testing.T) {
	s := startSystem(t, zoneSize)
	backends := s.startStandInsInZones("catalogue", 1)
	s.admit("catalogue")
	s.changeAndWait(state.PinAccount, "x", "--region", "south")
	south := s.Entries[3]
	header := http.Header{request.ClientAccountHeader: {"x"}, request.TimeoutHeader: {"2000"}}
	s.eventually("the home region serves", func() bool {
		got, err := send(south, http.MethodGet, "/catalogue/bells", header, nil)
		return err == nil && got.status == http.StatusOK
	})
	since := time.Now()
	backends["d"][0].Close()
	// If a connection breaks during a request, the request may have been executed.
	// The verdict is certain only after no connection to the server is left.
	got, err := send(south, http.MethodPost, "/catalogue/bells", header, nil)
	if err != nil || got.status < http.StatusBadRequest {
		t.Errorf("the home region answers %d %s, %v without a backend server", got.status, got.body, err)
	}
	s.eventually("the home region has no backend server", func() bool { return !s.listed(backends["d"][0]) })
	for _, e := range s.Entries {
		want := http.StatusMisdirectedRequest
		if e.Name == south.Name {
			want = http.StatusServiceUnavailable
		}
		got, err := send(e, http.MethodPost, "/catalogue/bells", header, nil)
		if err != nil || got.status != want || got.header.Get(verdict.Header) != verdict.NotRun.String() {
			t.Errorf("%s answers %d %s, %v, want %d with NotRun", e.Name, got.status, got.body, err, want)
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		if n := arrivals(backends[zone], since); n > 0 {
			t.Errorf("%d requests left their home region", n)
		}
	}
}

// A confirmed change that takes a zone out is in force on every entry even if the
// control leader is killed right after the confirmation.
func TestZoneOutWhileTheLeaderDies(t *testing.T) {
	size := zoneSize
	size.Controls = 3
	s := startSystem(t, size)
	backends := s.startStandInsInZones("catalogue", 1)
	s.admit("catalogue")
	traffic := startTraffic(s.Entries[:3], "leader", "/catalogue/bells")
	s.waitForRequests(backends["a"])
	o := &operatorSystem{system: s, accepted: map[string]bool{}}
	leader := o.leader()
	p, err := o.client(leader).Plan(state.Intent{Kind: state.TakeZoneOut, Subject: "a"})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := o.client(leader).Confirm(p.ID, operator.Confirmation{Operator: "test", Digest: p.Digest})
	if err != nil || !answer.Accepted {
		t.Fatalf("the change was not accepted: %+v, %v", answer, err)
	}
	s.kill(s.Controls[leader].Name)
	url := "http://" + s.Entries[0].Admin.String() + serving.ReadyPath
	s.eventually("the entry in the zone is unready", func() bool {
		return statusOf(url) == http.StatusServiceUnavailable
	})
	s.checkNoRequests(traffic, backends["a"], 60)
	traffic.end(t)
}
