package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerbarrow/bench/load"
	"tanagerbarrow/bench/standin"
	"tanagerbarrow/state"
)

// The measurement of a stage.
const (
	// lateMargin is the time after its deadline from which an answer counts as late.
	lateMargin = 100 * time.Millisecond
	// arrivalWindow is the time over which the share of requests of a zone is counted.
	arrivalWindow = time.Second
	// recoveredShare is the fraction of an even share of requests from which a zone
	// counts as recovered.
	recoveredShare = 0.8
	maxLatency     = time.Minute
)

// stage is one phase of the measurement.
type stage struct {
	name string
	// change is called after a third of the stage; nil changes nothing.
	change func(sys *testSystem) error
	// describe returns a note about the effect of the change; nil prints no note.
	describe func(sys *testSystem, changed time.Time, outcomes []load.Outcome) string
}

// stages returns all stages in order.
func stages() []stage {
	return []stage{
		{name: "before"},
		{
			name:   "a server of d leaves",
			change: func(sys *testSystem) error { sys.backends["d"][0].Leave(); return nil },
			describe: func(sys *testSystem, at time.Time, _ []load.Outcome) string {
				return describeArrivalsAfter(sys.backends["d"][:1], at)
			},
		},
		{
			name:   "a server of d drains",
			change: drainBackend,
			describe: func(sys *testSystem, at time.Time, _ []load.Outcome) string {
				return describeArrivalsAfter(sys.backends["d"][1:2], at)
			},
		},
		{
			name:   "zone a out",
			change: func(sys *testSystem) error { return sys.applyIntent(state.TakeZoneOut, "a") },
			describe: func(sys *testSystem, at time.Time, _ []load.Outcome) string {
				return describeArrivalsAfter(sys.backends["a"], at)
			},
		},
		{
			name:     "zone a back",
			change:   func(sys *testSystem) error { return sys.applyIntent(state.BringZoneBack, "a") },
			describe: describeShareRecovery,
		},
		{name: "out, back, out, back", change: toggleZoneTwice},
		{name: "backend servers of b die", change: func(sys *testSystem) error { return sys.killBackends("b") }, describe: describeFailures},
		{
			name: "all of zone c dies",
			change: func(sys *testSystem) error {
				err := sys.killEntries("c")
				if err == nil {
					err = sys.killBackends("c")
				}
				return err
			},
			describe: describeFailures,
		},
		{name: "after"},
	}
}

// toggleZoneTwice takes a zone out and brings it back, twice in quick succession.
func toggleZoneTwice(sys *testSystem) error {
	for range 2 {
		if err := sys.applyIntent(state.TakeZoneOut, "a"); err != nil {
			return err
		}
		if err := sys.applyIntent(state.BringZoneBack, "a"); err != nil {
			return err
		}
	}
	return nil
}

// measure runs one stage under load and prints its line.
func (sys *testSystem) measure(ctx context.Context, s stage) error {
	g := &load.Generator{
		Balancer: sys.balancer, Rate: sys.options.rate, Seed: sys.options.seed, Timeout: sys.options.deadline,
		Mix: []load.Kind{
			{Name: "read", Weight: 4, Method: http.MethodGet, Path: "/catalogue/bells", Account: "x"},
			{Name: "write", Weight: 1, Method: http.MethodPost, Path: "/catalogue/bells", BodyBytes: 100, Account: "x"},
		},
	}
	changedAt := make(chan time.Time, 1)
	failed := make(chan error, 1)
	go func() {
		time.Sleep(sys.options.stage / 3)
		var err error
		if s.change != nil {
			err = s.change(sys)
		}
		changedAt <- time.Now()
		failed <- err
	}()
	var outcomes []load.Outcome
	g.Run(ctx, s.name, sys.options.stage, func(o load.Outcome) { outcomes = append(outcomes, o) })
	at := <-changedAt
	if err := <-failed; err != nil {
		return err
	}
	sys.print(s, at, outcomes)
	return nil
}

// print prints the line of a stage: the request counts, the latencies and the notes.
func (sys *testSystem) print(s stage, changed time.Time, outcomes []load.Outcome) {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	failures := map[string]int{}
	failed, late := 0, 0
	for i := range outcomes {
		o := &outcomes[i]
		if o.Latency > sys.options.deadline+lateMargin {
			late++
		}
		if !o.OK() {
			failed++
			failures[fmt.Sprintf("%s %d %s", o.Kind, o.Status, o.Verdict)]++
			continue
		}
		_ = h.RecordValue(o.Latency.Microseconds())
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	notes := ""
	if s.describe != nil {
		notes = s.describe(sys, changed, outcomes)
	}
	if failed > 0 {
		notes += fmt.Sprintf(" failures by kind, status and verdict: %v", failures)
	}
	fmt.Printf("%-24s %7d %7d %9.1f %9.1f %9.1f %9d %s\n", s.name, len(outcomes), failed, ms(50), ms(99), ms(99.9), late, notes)
}

// drainBackend makes a backend server announce in its answers that it is draining.
func drainBackend(sys *testSystem) error {
	b := sys.backends["d"][1]
	script := b.Script()
	script.Draining = true
	b.SetScript(script)
	return nil
}

// describeArrivalsAfter returns how many requests arrived at backend servers after a
// change, and when the last one arrived.
func describeArrivalsAfter(servers []*standin.Server, changed time.Time) string {
	var last time.Duration
	n := 0
	for _, b := range servers {
		for _, r := range b.Records() {
			if r.Arrived.After(changed) {
				n++
				last = max(last, r.Arrived.Sub(changed))
			}
		}
	}
	return fmt.Sprintf("%d requests came there after the change, the last after %d ms;", n, last.Milliseconds())
}

// describeShareRecovery returns how long after the change zone a first received
// recoveredShare of an even share of requests.
func describeShareRecovery(sys *testSystem, changed time.Time, _ []load.Outcome) string {
	end := changed.Add(2 * sys.options.stage / 3)
	for from := changed; from.Add(arrivalWindow).Before(end); from = from.Add(arrivalWindow / 4) {
		zone, all := sys.arrivals("a", from), 0
		for name := range sys.backends {
			all += sys.arrivals(name, from)
		}
		if float64(zone)*float64(len(sys.backends)) >= recoveredShare*float64(all) {
			return fmt.Sprintf("%.0f%% of an even share after %.2f s;", 100*recoveredShare, from.Add(arrivalWindow).Sub(changed).Seconds())
		}
	}
	return fmt.Sprintf("less than %.0f%% of an even share by the end;", 100*recoveredShare)
}

// arrivals returns how many requests arrived in a zone within arrivalWindow after
// from.
func (sys *testSystem) arrivals(zone string, from time.Time) int {
	n := 0
	for _, b := range sys.backends[zone] {
		for _, r := range b.Records() {
			if r.Arrived.After(from) && r.Arrived.Before(from.Add(arrivalWindow)) {
				n++
			}
		}
	}
	return n
}

// describeFailures returns when the last failed request was due, and how many requests
// failed of those due within a second before or after the fault.
func describeFailures(_ *testSystem, changed time.Time, outcomes []load.Outcome) string {
	var last time.Duration
	sent, failed := 0, 0
	for _, o := range outcomes {
		after := o.Due.Sub(changed)
		if !o.OK() {
			last = max(last, after)
		}
		if after > -time.Second && after <= time.Second {
			sent++
			if !o.OK() {
				failed++
			}
		}
	}
	return fmt.Sprintf("last failed request due %d ms after the fault, %d of %d failed within a second of it;",
		last.Milliseconds(), failed, sent)
}
