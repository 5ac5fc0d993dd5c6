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

// zoneSize is three entries in three zones of one region and one in another.
var zoneSize = cluster.Size{
	Controls: 1, Entries: 4,
	Zones:         map[string]string{"a": "north", "b": "north", "c": "north", "d": "south"},
	ZoneOrder:     []string{"a", "b", "c", "d"},
	ExtraSettings: "[limits]\nstop-delay = 1s",
}

// traffic is load on a system that runs in the background.
type traffic struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu     sync.Mutex
	sent   int
	failed []load.Outcome
}

// startTraffic sends reads through the ready ones of the entries.
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
			g.Run(context.WithoutCancel(ctx), name, 200*time.Millisecond, t.note)
		}
	})
	return t
}

// note keeps an outcome.
func (t *traffic) note(o load.Outcome) {
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

// change makes a plan, confirms it, and waits until it is in force everywhere.
func (s *system) change(kind state.IntentKind, subject string, extra ...string) {
	s.t.Helper()
	var p state.Plan
	s.ctl(&p, append([]string{"plan", string(kind), subject}, extra...)...)
	var a state.Answer
	s.ctl(&a, "confirm", p.ID, p.Digest)
	s.eventually("the change is in force everywhere", func() bool {
		var got operator.Status
		s.ctl(&got, "status")
		for _, e := range s.Entries {
			if got.HostVersions[e.Name] < a.Version {
				return false
			}
		}
		return true
	})
}

// zoneStandIns starts stand-ins of a service in each zone.
func (s *system) zoneStandIns(service string, each int) map[string][]*standin.Server {
	all := map[string][]*standin.Server{}
	for _, zone := range zoneSize.ZoneOrder {
		for range each {
			b := s.standIn(service, zone)
			b.SetScript(standin.Script{ServiceMillis: 2})
			all[zone] = append(all[zone], b)
		}
	}
	return all
}

// arrivals returns how many requests came to the stand-ins since a time.
func arrivals(all []*standin.Server, since time.Time) int {
	n := 0
	for _, b := range all {
		n += b.ArrivalsSince(since)
	}
	return n
}

// waitForWork waits until every stand-in gets work from now on.
func (s *system) waitForWork(all []*standin.Server) {
	s.t.Helper()
	since := time.Now()
	s.eventually("every backend server gets work", func() bool {
		for _, b := range all {
			if b.ArrivalsSince(since) == 0 {
				return false
			}
		}
		return true
	})
}

// noWork checks that stand-ins get no work while further requests end.
func (s *system) noWork(t *traffic, all []*standin.Server, requests int) {
	s.t.Helper()
	// Requests that chose before the change was in force are under way.
	for start := t.count(); t.count() < start+requests; time.Sleep(5 * time.Millisecond) {
	}
	since := time.Now()
	for start := t.count(); t.count() < start+requests; time.Sleep(5 * time.Millisecond) {
	}
	if n := arrivals(all, since); n > 0 {
		s.t.Errorf("%d requests came to backend servers that may get none", n)
	}
}

func TestZoneOutAndBackUnderLoad(t *testing.T) {
	s := startSystem(t, zoneSize)
	backends := s.zoneStandIns("catalogue", 2)
	s.admit("catalogue")
	north := s.Entries[:3]
	traffic := startTraffic(north, "zone", "/catalogue/bells")
	s.waitForWork(backends["a"])

	s.change(state.TakeZoneOut, "a")
	s.noWork(traffic, backends["a"], 60)
	url := "http://" + north[0].Admin.String() + serving.ReadyPath
	if got := status(url); got != http.StatusServiceUnavailable {
		t.Errorf("the entry in the zone answers readiness with %d", got)
	}
	got, err := http.Get("http://" + north[0].Caller.String() + "/catalogue/bells")
	if err != nil || got.StatusCode != http.StatusOK || !got.Close {
		t.Errorf("the entry in the zone does not finish what it has: %+v, %v", got, err)
	} else {
		_ = got.Body.Close()
	}

	// Out and back in quick succession: the last order holds.
	s.change(state.BringZoneBack, "a")
	s.change(state.TakeZoneOut, "a")
	s.noWork(traffic, backends["a"], 60)

	// A second zone fails while the first is out.
	for _, b := range backends["b"] {
		b.Close()
	}
	s.waitForWork(backends["c"])
	s.change(state.BringZoneBack, "a")
	s.waitForWork(backends["a"])
	s.eventually("the entry in the zone is ready", func() bool { return status(url) == http.StatusOK })
	traffic.end(t)
}

func TestLeavingServersGetNoNewWork(t *testing.T) {
	s := startSystem(t, zoneSize)
	backends := s.zoneStandIns("catalogue", 1)
	s.admit("catalogue")
	traffic := startTraffic(s.Entries[:3], "leave", "/catalogue/bells")
	s.waitForWork(backends["a"])
	s.waitForWork(backends["b"])

	backends["a"][0].Leave()
	s.eventually("no entry lists the leaver", func() bool { return !s.listed(backends["a"][0]) })
	s.noWork(traffic, backends["a"], 60)
	backends["b"][0].SetScript(standin.Script{ServiceMillis: 2, Draining: true})
	s.eventually("no entry lists the server that drains", func() bool { return !s.listed(backends["b"][0]) })
	s.noWork(traffic, backends["b"], 60)
	traffic.end(t)
}

// hostStatus returns what an entry thinks of a host.
func (s *system) hostStatus(on cluster.Process, host string) membership.Status {
	for _, h := range s.membersOf(on).Hosts {
		if h.Host == host {
			return h.Status
		}
	}
	return membership.Alive
}

// members returns the backend servers that an entry knows.
func (s *system) members(e cluster.Process) []entry.Member { return s.membersOf(e).Servers }

// membersOf returns what an entry knows of backend servers and hosts.
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
	b := s.standIn("unknown", "a")
	s.eventually("the backend server is known", func() bool { return s.listed(b) })
	for _, m := range s.members(s.Entries[0]) {
		if !m.Unadmitted {
			t.Errorf("%+v is not held", m)
		}
	}
	s.eventually("status shows the backend server as held", func() bool {
		var got operator.Status
		s.ctl(&got, "status")
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
	backends := s.zoneStandIns("catalogue", 1)
	s.admit("catalogue")
	traffic := startTraffic(s.Entries[:3], "stop", "/catalogue/bells")
	s.waitForWork(backends["a"])
	stopped := s.processes[s.Entries[0].Name]
	if err := stopped.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	url := "http://" + s.Entries[0].Admin.String() + serving.ReadyPath
	s.eventually("the entry is unready", func() bool { return status(url) == http.StatusServiceUnavailable })
	got, err := http.Get("http://" + s.Entries[0].Caller.String() + "/catalogue/bells")
	if err != nil || got.StatusCode != http.StatusOK || !got.Close {
		t.Errorf("the unready entry does not serve on and close: %+v, %v", got, err)
	} else {
		_ = got.Body.Close()
	}
	if err := stopped.Wait(); err != nil {
		t.Errorf("the entry did not stop cleanly: %v", err)
	}
	delete(s.processes, s.Entries[0].Name)
	s.waitForWork(backends["a"])
	traffic.end(t)
}

// An entry that is frozen is found dead, costs no backend server its place, and
// counts as alive again soon after it wakes.
func TestFrozenEntryIsFoundDeadAndReturns(t *testing.T) {
	s := startSystem(t, zoneSize)
	backends := s.zoneStandIns("catalogue", 1)
	s.admit("catalogue")
	frozen, awake := s.Entries[0], s.Entries[1:3]
	traffic := startTraffic(awake, "frozen", "/catalogue/bells")
	s.waitForWork(backends["a"])
	if err := s.processes[frozen.Name].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for _, e := range awake {
		s.eventually("the frozen entry is dead", func() bool { return s.hostStatus(e, frozen.Name) == membership.Dead })
	}
	s.waitForWork(backends["a"])
	if err := s.processes[frozen.Name].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for _, e := range awake {
		s.eventually("the entry is alive", func() bool { return s.hostStatus(e, frozen.Name) == membership.Alive })
	}
	s.eventually("the entry serves", func() bool { return len(serversSeen(frozen, 20)) > 0 })
	s.waitForWork(backends["a"])
	traffic.end(t)
}

// Requests with home regions never leave them, also when the home is lost.
func TestLostHomeRegion(t *testing.T) {
	s := startSystem(t, zoneSize)
	backends := s.zoneStandIns("catalogue", 1)
	s.admit("catalogue")
	s.change(state.PinAccount, "x", "--region", "south")
	south := s.Entries[3]
	header := http.Header{request.ClientAccountHeader: {"x"}, request.TimeoutHeader: {"2000"}}
	s.eventually("the home region serves", func() bool {
		got, err := send(south, http.MethodGet, "/catalogue/bells", header, nil)
		return err == nil && got.status == http.StatusOK
	})
	since := time.Now()
	backends["d"][0].Close()
	// A connection that breaks under the request proves nothing, so that the
	// verdict is certain only once no connection is left.
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

// A zone is out everywhere although the control leader dies right after the
// confirmation.
func TestZoneOutWhileTheLeaderDies(t *testing.T) {
	size := zoneSize
	size.Controls = 3
	s := startSystem(t, size)
	backends := s.zoneStandIns("catalogue", 1)
	s.admit("catalogue")
	traffic := startTraffic(s.Entries[:3], "leader", "/catalogue/bells")
	s.waitForWork(backends["a"])
	o := &operators{system: s, accepted: map[string]bool{}}
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
		return status(url) == http.StatusServiceUnavailable
	})
	s.noWork(traffic, backends["a"], 60)
	traffic.end(t)
}
