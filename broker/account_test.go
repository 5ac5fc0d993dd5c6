package broker

import (
	"fmt"
	"testing"
	"time"

	"tanagerbarrow/account"
	"tanagerbarrow/route"
)

// accountIndex returns a configuration in which account north has a limit, 0 for none, and others have high
// ones.
func accountIndex(perSecond float64, others int) *route.Index {
	c := &route.Configuration{Services: []route.Service{{Name: "s"}}}
	c.ClientAccounts = []account.Account{{Name: "north", RatePerSecond: perSecond, Burst: 5}}
	for n := range others {
		c.ClientAccounts = append(c.ClientAccounts, account.Account{Name: fmt.Sprint("other-", n), RatePerSecond: 1e6, Burst: 1e6})
	}
	return route.NewIndex(c)
}

// askAs sends an ask of an account and returns the immediate reply.
func (w *testBroker) askAs(name string, change func(*Ask)) Output {
	w.seq++
	a := Ask{Seq: w.seq, Service: "s", ObjectiveMillis: 400, DeadlineMillis: 2000}
	if change != nil {
		change(&a)
	}
	w.AskInDetail("e1", DetailedAsk{Ask: a, Details: Details{ClientAccount: name}}, w.now)
	return w.onlyOutput()
}

// grantsAs sends a number of asks and returns the number of grants, which end at once with an outcome.
func (w *testBroker) grantsAs(name string, asks int, outcome Outcome) int {
	granted := 0
	for range asks {
		if o := w.askAs(name, nil); o.Grant != nil {
			granted++
			w.Release("e1", Release{ID: o.Grant.ID, Outcome: outcome, ElapsedMillis: 10}, w.now)
			w.TakeOutputs()
		}
	}
	return granted
}

// TestAccountLimit checks which asks take a token: granted first attempts. The refusal names the time of the
// caller's own token.
func TestAccountLimit(t *testing.T) {
	w := newTestBroker(t, "a", "a", "a")
	w.Configure(accountIndex(10, 0), nil, w.now)
	if got := w.grantsAs("north", 3, Unused); got != 3 {
		t.Errorf("%d grants", got)
	}
	if got := w.grantsAs("north", 9, Answered); got != 5 {
		t.Errorf("%d grants of a burst of 5, though unused ones return their token", got)
	}
	for n, want := range []int{100, 200, 300} {
		r := w.askAs("north", nil).Refusal
		if r == nil || r.Reason != ReasonAccountLimit || r.RetryMillis < want || r.RetryMillis > want+400+2 {
			t.Errorf("refusal %d is %+v, want one for about %d ms", n, r, want)
		}
	}
	if w.askAs("north", func(a *Ask) { a.Retry = true }).Grant == nil || w.askAs("south", nil).Grant == nil || w.ask("e1", nil).Grant == nil {
		t.Error("a retry or another caller was refused")
	}
}

// TestRefusedCallersAreToldTheirOwnTokens sends five times an account's limit for two seconds, of which
// some is granted all the time. The retry times of refused callers must not be nearer together than its
// tokens: before, each grant began them anew, and the callers came back to tokens that others had.
func TestRefusedCallersAreToldTheirOwnTokens(t *testing.T) {
	w := newTestBroker(t, "a", "a", "a")
	w.Configure(accountIndex(20, 0), nil, w.now)
	from, invited := w.now, 0
	for range 200 {
		w.now = w.now.Add(10 * time.Millisecond)
		o := w.askAs("north", func(a *Ask) { a.DeadlineMillis = 1500 })
		if o.Grant != nil {
			w.Release("e1", Release{ID: o.Grant.ID, Outcome: Answered, ElapsedMillis: 10}, w.now)
			w.TakeOutputs()
			continue
		}
		if millis(o.Refusal.RetryMillis) <= 500*time.Millisecond {
			invited++
		}
	}
	if most := int(20*(w.now.Sub(from)+500*time.Millisecond).Seconds()) + 1; invited > most {
		t.Errorf("%d callers have retry times within their deadlines, there are %d tokens", invited, most)
	}
}

// TestQueuedAsksTakeTheirTokenWithTheGrant checks that asks that wait for a slot don't pass the limit later,
// and that what is refused elsewhere costs no token.
func TestQueuedAsksTakeTheirTokenWithTheGrant(t *testing.T) {
	w := newTestBroker(t, "a")
	w.Configure(accountIndex(1, 0), nil, w.now)
	held := []Output{w.granted("e1", nil), w.granted("e1", nil)}
	for range 8 {
		if o := w.askAs("north", func(a *Ask) { a.ObjectiveMillis = 8000 }); o.Grant != nil {
			t.Fatalf("granted without a slot: %+v", o)
		}
	}
	granted, refused := 0, map[Reason]int{}
	for range 10 {
		for _, o := range held {
			w.Release("e1", Release{ID: o.Grant.ID, Outcome: Answered, ElapsedMillis: 10}, w.now)
		}
		w.now = w.now.Add(5 * time.Millisecond)
		w.Tick(w.now)
		held = nil
		for _, o := range w.TakeOutputs() {
			if o.Refusal != nil {
				refused[o.Refusal.Reason]++
				continue
			}
			granted++
			held = append(held, o)
		}
	}
	if granted != 5 || refused[ReasonAccountLimit] == 0 {
		t.Errorf("%d grants of a burst of 5; refused: %v", granted, refused)
	}
}

// TestChangedLimits checks that a lower limit holds at once, that a higher one doesn't refill the burst, and
// that a new account has its whole burst while one without a limit before has none.
func TestChangedLimits(t *testing.T) {
	w := newTestBroker(t, "a", "a", "a")
	w.Configure(accountIndex(100, 0), nil, w.now)
	if got := w.grantsAs("north", 2, Answered); got != 2 {
		t.Fatalf("%d grants", got)
	}
	w.Configure(accountIndex(1, 0), nil, w.now)
	if got := w.grantsAs("north", 9, Answered); got != 3 {
		t.Errorf("%d grants under the lower limit, want the 3 tokens that are left", got)
	}
	w.Configure(accountIndex(100, 0), nil, w.now)
	if got := w.grantsAs("north", 9, Answered); got != 0 {
		t.Errorf("%d grants right after a higher limit", got)
	}
	w.Configure(accountIndex(0, 0), nil, w.now)
	if got := w.grantsAs("north", 20, Answered); got != 20 {
		t.Errorf("%d grants of 20 without a limit", got)
	}
	w.Configure(accountIndex(1, 1), nil, w.now)
	if got := w.grantsAs("north", 9, Answered); got != 0 {
		t.Errorf("%d grants of an account that had no limit before", got)
	}
	if got := w.grantsAs("other-0", 9, Answered); got != 9 {
		t.Errorf("%d of 9 grants of a new account", got)
	}
}

// TestNewBrokerBeginsWithLittle checks that a broker that takes over lets no second burst through.
func TestNewBrokerBeginsWithLittle(t *testing.T) {
	for predecessorIsNew, want := range map[bool]int{false: 2, true: 0} {
		w := newTestBroker(t)
		w.Broker = New(Options{
			Regions: map[string]string{"a": "west"}, Random: w.options.Random, PredecessorIsNew: predecessorIsNew,
			AccountBounds: account.Bounds{Window: 5 * time.Second, Slack: 20},
		})
		w.Configure(accountIndex(1, 0), nil, w.now)
		w.Connect("e1", "a", nil, w.now)
		w.announce("i", "a", 0)
		if got := w.grantsAs("north", 30, Answered); got != want {
			t.Errorf("predecessor new %v: %d grants, want %d", predecessorIsNew, got, want)
		}
	}
}

// BenchmarkGrantWithAccounts measures what an ask with its grant and release costs without client accounts,
// with 83 and with 10,000.
func BenchmarkGrantWithAccounts(b *testing.B) {
	for _, accounts := range []int{0, 83, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			w := newTestBroker(b)
			for n := range 100 {
				w.announce(fmt.Sprint("i-", n), "a", 0)
			}
			if accounts > 0 {
				w.Configure(accountIndex(1e6, accounts), nil, w.now)
			}
			n := 0
			for b.Loop() {
				n++
				name := ""
				if accounts > 0 {
					name = fmt.Sprint("other-", n%accounts)
				}
				w.now = w.now.Add(time.Millisecond)
				o := w.askAs(name, nil)
				w.Release("e1", Release{ID: o.Grant.ID, Outcome: Answered, ElapsedMillis: 10}, w.now)
				w.TakeOutputs()
			}
		})
	}
}

// TestReturningAccountHasNoSecondBurst removes an account that has used its burst, and takes its limit away,
// and brings it back at once: it gets the tokens of the time that has passed, as if it had stayed. A window
// later it is as good as new.
func TestReturningAccountHasNoSecondBurst(t *testing.T) {
	for name, gone := range map[string]*route.Index{
		"removed": route.NewIndex(&route.Configuration{Services: []route.Service{{Name: "s"}}}), "unlimited": accountIndex(0, 0),
	} {
		w := newTestBroker(t, "a", "a", "a")
		w.options.AccountBounds = account.Bounds{Window: 5 * time.Second}
		w.Configure(accountIndex(1, 0), nil, w.now)
		first := w.grantsAs("north", 9, Answered)
		w.now = w.now.Add(time.Second)
		w.Configure(gone, nil, w.now)
		w.now = w.now.Add(time.Second)
		w.Configure(accountIndex(1, 0), nil, w.now)
		if got := w.grantsAs("north", 9, Answered); first != 5 || got != 2 {
			t.Errorf("%s: %d grants, then %d two seconds later", name, first, got)
		}
		w.Configure(gone, nil, w.now)
		w.now = w.now.Add(6 * time.Second)
		w.Configure(gone, nil, w.now)
		if len(w.retiredMeters) != 0 {
			t.Errorf("%s: %d meters are kept", name, len(w.retiredMeters))
		}
	}
}
