package broker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagerbarrow/registry"
	"tanagerbarrow/route"
)

// The deployment of the day on which entries lost all backend servers.
const (
	cutEntries     = 19
	cutServers     = 24
	cutRate        = 43.0
	cutServiceTime = 220 * time.Millisecond
	cutDialTimeout = 500 * time.Millisecond
	// cutDetection is the time from the beginning of the cut from which requests count.
	cutDetection = 3 * time.Second
	// cutReported is when the entries have found out that they are cut off.
	cutReported = time.Second
)

// cutRegions are the zones of that deployment with their regions.
var cutRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// cutZones are the zones in the order in which entries and servers are spread over them.
var cutZones = []string{"a1", "b1", "c1", "a2", "b2", "c2"}

// cutDay replays requests on entries of which some have lost all servers: their requests
// fail to connect after the dial timeout.
type cutDay struct {
	b      *Broker
	random *rand.Rand
	cut    func(entry int) bool
	// relays makes entries relay for others; those that are cut off report it at
	// cutReported.
	relays bool
	// homes are the home regions of all requests, and relayed counts the requests that
	// each entry relayed.
	homes   []string
	relayed map[string]int
	running []cutRequest
	// sent and served count the requests of entries with and without servers.
	sent, served map[bool]int
	// counted holds the asks of requests that count.
	counted map[uint64]bool
}

// cutRequest is a granted request that ends at a time.
type cutRequest struct {
	entry  int
	id     uint64
	seq    uint64
	endsAt time.Duration
	failed bool
}

// newCutDay returns a day on which the entries for which cut returns true have lost all
// servers.
func newCutDay(cut func(entry int) bool) *cutDay {
	d := &cutDay{
		cut: cut, random: rand.New(rand.NewPCG(7, 8)), sent: map[bool]int{}, served: map[bool]int{}, counted: map[uint64]bool{}, relayed: map[string]int{},
		b: New(Options{
			Regions: cutRegions, Zone: "a1", RetryRatio: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second,
			SilenceTimeout: time.Hour, Random: rand.New(rand.NewPCG(1, 2)),
		}),
	}
	d.b.Configure(route.NewIndex(&route.Configuration{Services: []route.Service{{Name: "s"}}}), nil, start)
	for n := range cutServers {
		id := fmt.Sprint("server", n)
		d.b.Announce(registry.Record{
			BackendServer: registry.BackendServer{ID: id, Service: "s", Address: "at " + id, AvailabilityZone: cutZones[n%6], Slots: 2, Started: 1},
			LastHeartbeat: start,
		}, start)
	}
	for n := range cutEntries {
		d.b.Connect(fmt.Sprint("e", n), cutZones[n%6], nil, start)
	}
	return d
}

// run replays the day for some time; requests count from cutDetection on.
func (d *cutDay) run(length time.Duration) {
	const step = 5 * time.Millisecond
	var seq uint64
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if d.relays && at == cutReported {
			d.reportPaths(now)
		}
		kept := d.running[:0]
		for _, q := range d.running {
			if q.endsAt > at {
				kept = append(kept, q)
				continue
			}
			d.end(q, now)
		}
		d.running = kept
		if d.random.Float64() < cutRate*step.Seconds() {
			seq++
			entry := d.random.IntN(cutEntries)
			if at >= cutDetection {
				d.counted[seq] = true
				d.sent[d.cut(entry)]++
			}
			d.b.Ask(fmt.Sprint("e", entry), Ask{Seq: seq, Service: "s", ObjectiveMillis: 600, DeadlineMillis: 4000, Fingerprint: seq, HomeRegions: d.homes}, now)
		}
		d.b.Tick(now)
		d.startGranted(at)
	}
}

// reportPaths makes the entries relay for others, or report that they are cut off.
func (d *cutDay) reportPaths(now time.Time) {
	for n := range cutEntries {
		name := fmt.Sprint("e", n)
		d.b.SetRelayAddress(name, "at "+name)
		d.b.SetPath(name, d.cut(n), now)
	}
}

// end releases a request's grant.
func (d *cutDay) end(q cutRequest, now time.Time) {
	r := Release{ID: q.id, Outcome: Answered, ElapsedMillis: int(cutServiceTime.Milliseconds()), KeepAliveMillis: 9000}
	if q.failed {
		r = Release{ID: q.id, Outcome: Unreachable, ElapsedMillis: int(cutDialTimeout.Milliseconds())}
	} else if d.counted[q.seq] {
		d.served[d.cut(q.entry)]++
	}
	d.b.Release(fmt.Sprint("e", q.entry), r, now)
}

// startGranted starts the requests that the broker has granted.
func (d *cutDay) startGranted(at time.Duration) {
	for _, o := range d.b.TakeOutputs() {
		if o.Grant == nil {
			continue
		}
		var entry int
		_, _ = fmt.Sscanf(o.Entry, "e%d", &entry)
		q := cutRequest{entry: entry, id: o.Grant.ID, seq: o.Grant.Seq, endsAt: at + cutServiceTime}
		if o.Relay != "" {
			d.relayed[o.Relay]++
		} else if d.cut(entry) {
			q.failed, q.endsAt = true, at+cutDialTimeout
		}
		d.running = append(d.running, q)
	}
}

// TestEntriesWithoutServersHarmNoOthers replays days on which one entry, two thirds of
// the entries, or all of a zone have lost all backend servers: the others must be served.
func TestEntriesWithoutServersHarmNoOthers(t *testing.T) {
	for name, cut := range map[string]func(int) bool{
		"one":        func(entry int) bool { return entry == 3 },
		"two thirds": func(entry int) bool { return entry < 12 },
		"a zone":     func(entry int) bool { return entry%6 == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			d := newCutDay(cut)
			d.run(15 * time.Second)
			if share := float64(d.served[false]) / float64(d.sent[false]); share < 0.9 {
				t.Errorf("the others were served %.2f of %d first attempts", share, d.sent[false])
			}
		})
	}
}

// TestChecksOfACutOffEntryRaiseNoDoubts checks that an entry that gets no response to its
// checks of several servers makes none of them unhealthy, and that one that gets other
// responses does.
func TestChecksOfACutOffEntryRaiseNoDoubts(t *testing.T) {
	for _, othersRespond := range []bool{false, true} {
		w := newTestBroker(t, "a", "a", "a")
		for n := range 3 {
			m := Sample{Server: w.byID[fmt.Sprint("server", n)].Number, ColdMillis: -1, Running: -1}
			if n == 1 && othersRespond {
				m.Healthy, m.Responded, m.Running = true, true, 0
			}
			w.SampleBy("e1", m, w.now)
		}
		if got := w.byID["server2"].unhealthy; got != othersRespond {
			t.Errorf("other servers respond: %v, but the silent one is unhealthy: %v", othersRespond, got)
		}
		if !othersRespond && w.byID["server0"].unhealthy {
			t.Error("the first silent server stays unhealthy")
		}
	}
}

// TestEntriesWithoutServersAreRelayed replays the same days with entries that relay for
// others: the callers of entries that are cut off must be served nearly as often as the
// others, by relays that reach the servers and share the load.
func TestEntriesWithoutServersAreRelayed(t *testing.T) {
	for name, c := range map[string]struct {
		cut   func(int) bool
		homes []string
	}{
		"one":            {func(entry int) bool { return entry == 3 }, nil},
		"two thirds":     {func(entry int) bool { return entry < 12 }, nil},
		"a zone":         {func(entry int) bool { return entry%6 == 1 }, nil},
		"a region":       {func(entry int) bool { return entry%3 == 1 }, nil},
		"home regions":   {func(entry int) bool { return entry < 12 }, []string{"a", "b"}},
		"all but one":    {func(entry int) bool { return entry != 5 }, nil},
		"home region, a": {func(entry int) bool { return entry%6 == 1 }, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newCutDay(c.cut)
			d.relays, d.homes = true, c.homes
			d.run(15 * time.Second)
			cut := float64(d.served[true]) / float64(d.sent[true])
			others := float64(d.served[false]) / float64(d.sent[false])
			if len(c.homes) != 1 && (cut < 0.9 || others < 0.9) || cut < others*2/3 {
				t.Errorf("entries that were cut off were served %.2f of %d first attempts, the others %.2f", cut, d.sent[true], others)
			}
			d.checkRelays(t)
		})
	}
}

// checkRelays checks that only entries that reach the servers relayed, in home regions,
// and that none relayed much more than its share.
func (d *cutDay) checkRelays(t *testing.T) {
	t.Helper()
	total := 0
	for name, count := range d.relayed {
		var entry int
		_, _ = fmt.Sscanf(name, "e%d", &entry)
		region := cutRegions[cutZones[entry%6]]
		if d.cut(entry) || len(d.homes) > 0 && !slices.Contains(d.homes, region) {
			t.Errorf("%s in region %s relayed %d requests", name, region, count)
		}
		total += count
	}
	for name, count := range d.relayed {
		if share := float64(total) / float64(len(d.relayed)); float64(count) > 3*share {
			t.Errorf("%s relayed %d requests, a fair share is %.0f", name, count, share)
		}
	}
	for name, e := range d.b.entries {
		inProgress := 0
		for _, g := range d.b.grants {
			if g.relay == e {
				inProgress++
			}
		}
		if inProgress != e.relayed {
			t.Errorf("%s relays %d requests, the broker counts %d", name, inProgress, e.relayed)
		}
	}
}

// TestNoRelayIsRefusedAtOnce checks that a request that no entry can send is refused
// without a wait, that a relay that failed is avoided, and that a returning path is used.
func TestNoRelayIsRefusedAtOnce(t *testing.T) {
	w := newTestBroker(t, "a")
	w.SetRelayAddress("e2", "at e2")
	w.SetPath("e1", true, w.now)
	if o := w.ask("e1", func(a *Ask) { a.HomeRegions = []string{"west"} }); o.Refusal == nil || o.Refusal.Reason != ReasonNoRelay {
		t.Errorf("a request that must not leave its region: %+v", o)
	}
	o := w.granted("e1", nil)
	if o.Grant.Relay != "at e2" || o.Relay != "e2" {
		t.Fatalf("granted %+v", o.Grant)
	}
	w.Release("e1", Release{ID: o.Grant.ID, Outcome: RelayFailed}, w.now)
	if o := w.ask("e1", nil); o.Refusal == nil || o.Refusal.Reason != ReasonNoRelay {
		t.Errorf("after the only relay failed: %+v", o)
	}
	w.now = w.now.Add(relayAvoidance)
	w.granted("e1", nil)
	w.SetPath("e2", true, w.now)
	if o := w.ask("e1", nil); o.Refusal == nil {
		t.Errorf("all entries are cut off: %+v", o)
	}
	w.SetPath("e1", false, w.now)
	if o := w.granted("e1", nil); o.Grant.Relay != "" {
		t.Errorf("granted %+v after the path was restored", o.Grant)
	}
}
