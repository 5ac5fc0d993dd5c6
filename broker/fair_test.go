package broker

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerbarrow/account"
	"tanagerbarrow/route"
)

// TestHotAccountsCostThemselves replays a load that the machines at their usual pace carry alone, by
// 20 client accounts, of which one or three send seven times their usual for five
// seconds. The others must be served in time as if nothing had happened, and the hot ones must get
// what is left.
func TestHotAccountsCostThemselves(t *testing.T) {
	for _, hot := range []int{1, 3} {
		l := stock(300, 4)
		l.accounts, l.hot, l.hotFactor, l.burstFrom, l.burstTo, l.length = 20, hot, 7, 3*time.Second, 8*time.Second, 10*time.Second
		r := newSimulation(l).run()
		neighbours, all := &tally{}, &tally{}
		for account, a := range r.byAccount {
			all.requests, all.served = all.requests+a.requests, all.served+a.served
			if account > hot {
				neighbours.requests, neighbours.inTime = neighbours.requests+a.requests, neighbours.inTime+a.inTime
			}
			if a.servedShare() < leastServedShare*r.byAccount[hot+1].servedShare() && account > hot {
				t.Errorf("%d hot: account %d got %.3f", hot, account, a.servedShare())
			}
		}
		if neighbours.inTimeShare() < inTimeUnderLoad {
			t.Errorf("%d hot: %.3f of the neighbours' requests were in time", hot, neighbours.inTimeShare())
		}
	}
}

// TestAbusiveRetriesGainNothing replays one and a half times the capacity with a third of callers
// that repeat refused requests at once and five times. Callers that come back when they are told
// must be in time as often as those.
func TestAbusiveRetriesGainNothing(t *testing.T) {
	for seed := range uint64(2) {
		l := stock(560, seed)
		l.abusers, l.length = 0.3, 10*time.Second
		r := newSimulation(l).run()
		patient, abusive := r.byBackoff[false], r.byBackoff[true]
		if patient.inTimeShare() < abusive.inTimeShare()-0.03 {
			t.Errorf("seed %d: %.3f of the patient callers' requests were in time, %.3f of the abusive ones'", seed, patient.inTimeShare(), abusive.inTimeShare())
		}
	}
}

// TestEqualRequestsAreNotReturns lets two callers ask for the same content while every slot is in
// use. The second must not be taken for the first one, who was refused, come back too early.
func TestEqualRequestsAreNotReturns(t *testing.T) {
	var r returns
	ask := func() *pendingAsk { return &pendingAsk{ask: Ask{Fingerprint: 7}} }
	first, second, third := ask(), ask(), ask()
	if r.take(first, start) != nil || r.take(second, start) != nil {
		t.Fatal("a request that was not refused has returned")
	}
	r.remember(first, time.Second, start)
	if r.take(third, start.Add(10*time.Millisecond)) != nil {
		t.Error("a new request counts as returned")
	}
	alone := &pendingAsk{ask: Ask{Fingerprint: 8}}
	r.take(alone, start)
	r.remember(alone, time.Second, start)
	if x := r.take(alone, start.Add(time.Second)); x == nil || !x.retryAt.Equal(start.Add(time.Second)) {
		t.Errorf("a caller that comes back is %v", x)
	}
	r.expire(start.Add(time.Minute))
	if len(r.contents) != 0 {
		t.Errorf("%d contents are remembered", len(r.contents))
	}
}

// TestReturnsKeepTheirPlace lets a caller of an account come back as told, while others of its account
// and of another one wait: it goes before those that came after its first attempt.
func TestReturnsKeepTheirPlace(t *testing.T) {
	b := New(Options{Regions: map[string]string{"z": "r"}, Zone: "z", RetryWindow: time.Second, Random: rand.New(rand.NewPCG(1, 1))})
	b.Connect("e", "z", nil, start)
	e, p := b.entries["e"], b.pool("s")
	arrive := func(account string, fingerprint uint64, at time.Duration) *pendingAsk {
		d := DetailedAsk{Ask: Ask{ObjectiveMillis: 4000, DeadlineMillis: 9000, Fingerprint: fingerprint}, Details: Details{ClientAccount: account}}
		return b.newPendingAsk(p, e, d, start.Add(at))
	}
	p.returns.remember(arrive("a", 1, 0), time.Second, start)
	for n := range 3 {
		p.enqueue(arrive("a", uint64(2+n), 500*time.Millisecond))
	}
	p.enqueue(arrive("b", 9, 600*time.Millisecond))
	back := arrive("a", 1, time.Second)
	if !back.returning || !back.retryAt.IsZero() || p.enqueue(back) != 0 {
		t.Errorf("the caller that came back is at another place: %+v", back)
	}
	if early := arrive("a", 3, 700*time.Millisecond); early.returning {
		t.Error("a request that was not refused has returned")
	}
}

// TestWeightsAreBounded declares limits that differ by far more than requests can: one request of the
// smallest account must not use up everybody's virtual time.
func TestWeightsAreBounded(t *testing.T) {
	b := New(Options{RetryWindow: time.Second, Random: rand.New(rand.NewPCG(1, 1))})
	accounts := []account.Account{{Name: "tiny", RatePerSecond: 1e-300}, {Name: "large", RatePerSecond: 1e9}, {Name: "free"}}
	b.Configure(route.NewIndex(&route.Configuration{ClientAccounts: accounts}), nil, start)
	for name, want := range map[string]float64{"tiny": 1.0 / maxWeight, "large": 2, "free": 1, "unknown": 1} {
		if got := b.accountWeight(name); got != want {
			t.Errorf("%s weighs %v, want %v", name, got, want)
		}
	}
}

// TestUrgentBurstStarvesNobody replays a burst of urgent requests that exceed the slots alone. The
// others must still be served half as often as all, less the requests that are on their way while
// the counts change.
func TestUrgentBurstStarvesNobody(t *testing.T) {
	for _, rankStep := range []int{1, 1 << 10} {
		l := stock(600, 1)
		l.urgent, l.length, l.rankStep = 0.9, 10*time.Second, rankStep
		r := newSimulation(l).run()
		urgent, other := r.byPriority[0], r.byPriority[2]
		all := float64(urgent.served+other.served) / float64(r.requests)
		if other.servedShare() < 0.9*leastServedShare*all {
			t.Errorf("step %d: %.3f of the less urgent requests were served, %.3f of all", rankStep, other.servedShare(), all)
		}
	}
}

// TestRefusalsAreEarly replays what a service gets at twice the capacity of its home regions, with
// a fifth of urgent requests that go before others, and at 60 in 100 of its servers: asks that can't
// be served must be refused at once, not when they have waited.
func TestRefusalsAreEarly(t *testing.T) {
	homes := stock(500, 1)
	homes.regions, homes.entries, homes.homes, homes.urgent = 3, 18, []string{"r0", "r1"}, 0.2
	fewer := stock(440, 1)
	fewer.servers, fewer.urgent = fewer.servers*6/10, 0.2
	for name, l := range map[string]load{"home regions": homes, "60 in 100": fewer} {
		l.length = 10 * time.Second
		r := newSimulation(l).run()
		if r.lateRefusals > r.requests/10 {
			t.Errorf("%s: %d of %d requests were refused after waiting; %s", name, r.lateRefusals, r.requests, r)
		}
	}
}

// TestFairSharesNeverStarve lets accounts of any weights send and be refused in any order: an
// account that asks must get a tag at most one of its requests behind virtual time, unless it
// has itself charged more.
func TestFairSharesNeverStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fairShares
		weights := map[string]float64{"a": 1, "b": 3, "c": 0.5}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
			tag := f.tag(account)
			f.charge(account, tag, weights[account])
			switch {
			case rapid.Bool().Draw(t, "granted"):
				f.granted(tag)
			default:
				f.giveBack(account, weights[account])
			}
		}
		for account, weight := range weights {
			if lead := f.tag(account) - f.virtualTime; lead < 0 || lead > 1/weight+1e-9 {
				t.Fatalf("account %s stands %.2f behind virtual time", account, lead)
			}
		}
	})
}

// TestBurstOfOneKind replays three times the requests of a less urgent kind for five seconds. The urgent
// ones must be in time as if there were none, and the others still be served half as often as all.
func TestBurstOfOneKind(t *testing.T) {
	for seed := range uint64(2) {
		l := stock(300, seed)
		l.urgent, l.burst, l.burstFrom, l.burstTo, l.length, l.burstOfOthers = 0.3, 3, 3*time.Second, 8*time.Second, 10*time.Second, true
		r := newSimulation(l).run()
		urgent, other := r.byPriority[0], r.byPriority[2]
		all := float64(urgent.served+other.served) / float64(r.requests)
		if urgent.inTimeShare() < inTimeUnderLoad || other.servedShare() < leastServedShare*all || r.lateRefusals > r.requests/10 {
			t.Errorf("seed %d: %.3f of the urgent requests in time, %.3f of the others served, %d refused late; %s", seed, urgent.inTimeShare(), other.servedShare(), r.lateRefusals, r)
		}
	}
}

// TestSlowRegion replays half of the load while all machines of one of three regions are five times
// slower: its requests must find the machines of the others.
func TestSlowRegion(t *testing.T) {
	for seed := range uint64(2) {
		l := stock(200, seed)
		l.regions, l.entries, l.distant, l.slowRegion, l.burst = 3, 18, true, true, 1
		l.burstFrom, l.burstTo, l.length = 3*time.Second, 8*time.Second, 10*time.Second
		r := newSimulation(l).run()
		if r.share() < inTimeUnderLoad {
			t.Errorf("seed %d: %s, %d met slow machines", seed, r, r.slow)
		}
	}
}
