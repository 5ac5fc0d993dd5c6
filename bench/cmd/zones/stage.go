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
	// lateMargin is how long after its deadline an answer counts as late.
	lateMargin = 100 * time.Millisecond
	// shareWindow is the time over which a zone's share is counted.
	shareWindow = time.Second
	// wholeShare is the part of its usual work at which a zone's share counts as
	// whole.
	wholeShare = 0.8
	maxLatency = time.Minute
)

// stage is one stretch of the measurement.
type stage struct {
	name string
	// change happens a third into the stage; nil changes nothing.
	change func(w *world) error
	// notes says what the stage showed besides its requests.
	notes func(w *world, changed time.Time, outcomes []load.Outcome) string
}

// stages returns all stages in order.
func stages() []stage {
	return []stage{
		{name: "before"},
		{
			name:   "a server of d leaves",
			change: func(w *world) error { w.backends["d"][0].Leave(); return nil },
			notes:  func(w *world, at time.Time, _ []load.Outcome) string { return workAfter(w.backends["d"][:1], at) },
		},
		{
			name:   "a server of d drains",
			change: drain,
			notes:  func(w *world, at time.Time, _ []load.Outcome) string { return workAfter(w.backends["d"][1:2], at) },
		},
		{
			name:   "zone a out",
			change: func(w *world) error { return w.order(state.TakeZoneOut, "a") },
			notes:  func(w *world, at time.Time, _ []load.Outcome) string { return workAfter(w.backends["a"], at) },
		},
		{
			name:   "zone a back",
			change: func(w *world) error { return w.order(state.BringZoneBack, "a") },
			notes:  wholeAgain,
		},
		{name: "out, back, out, back", change: changeMind},
		{name: "backend servers of b die", change: func(w *world) error { return w.killBackends("b") }, notes: serviceBack},
		{
			name: "all of zone c dies",
			change: func(w *world) error {
				err := w.killEntries("c")
				if err == nil {
					err = w.killBackends("c")
				}
				return err
			},
			notes: serviceBack,
		},
		{name: "after"},
	}
}

// changeMind orders a zone out and back twice in quick succession.
func changeMind(w *world) error {
	for range 2 {
		if err := w.order(state.TakeZoneOut, "a"); err != nil {
			return err
		}
		if err := w.order(state.BringZoneBack, "a"); err != nil {
			return err
		}
	}
	return nil
}

// measure runs one stage and prints its line.
func (w *world) measure(ctx context.Context, s stage) error {
	g := &load.Generator{
		Balancer: w.frontend, Rate: w.options.rate, Seed: w.options.seed, Timeout: w.options.deadline,
		Mix: []load.Kind{
			{Name: "read", Weight: 4, Method: http.MethodGet, Path: "/catalogue/bells", Account: "x"},
			{Name: "write", Weight: 1, Method: http.MethodPost, Path: "/catalogue/bells", BodyBytes: 100, Account: "x"},
		},
	}
	changed := make(chan time.Time, 1)
	failed := make(chan error, 1)
	go func() {
		time.Sleep(w.options.stage / 3)
		var err error
		if s.change != nil {
			err = s.change(w)
		}
		changed <- time.Now()
		failed <- err
	}()
	var all []load.Outcome
	g.Run(ctx, s.name, w.options.stage, func(o load.Outcome) { all = append(all, o) })
	at := <-changed
	if err := <-failed; err != nil {
		return err
	}
	w.print(s, at, all)
	return nil
}

// print prints the line of a stage.
func (w *world) print(s stage, changed time.Time, all []load.Outcome) {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	failures := map[string]int{}
	failed, late := 0, 0
	for i := range all {
		o := &all[i]
		if o.Latency > w.options.deadline+lateMargin {
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
	if s.notes != nil {
		notes = s.notes(w, changed, all)
	}
	if failed > 0 {
		notes += fmt.Sprintf(" failures by kind, status and verdict: %v", failures)
	}
	fmt.Printf("%-24s %7d %7d %9.1f %9.1f %9.1f %9d %s\n", s.name, len(all), failed, ms(50), ms(99), ms(99.9), late, notes)
}

// drain makes a backend server show in its answers that it leaves.
func drain(w *world) error {
	b := w.backends["d"][1]
	script := b.Script()
	script.Draining = true
	b.SetScript(script)
	return nil
}

// workAfter tells what new work came to backend servers after a change.
func workAfter(servers []*standin.Server, changed time.Time) string {
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

// wholeAgain tells when zone a first had its whole share of work again.
func wholeAgain(w *world, changed time.Time, _ []load.Outcome) string {
	end := changed.Add(2 * w.options.stage / 3)
	for from := changed; from.Add(shareWindow).Before(end); from = from.Add(shareWindow / 4) {
		zone, all := w.arrivals("a", from), 0
		for name := range w.backends {
			all += w.arrivals(name, from)
		}
		if float64(zone)*float64(len(w.backends)) >= wholeShare*float64(all) {
			return fmt.Sprintf("%.0f%% of an even share after %.2f s;", 100*wholeShare, from.Add(shareWindow).Sub(changed).Seconds())
		}
	}
	return fmt.Sprintf("less than %.0f%% of an even share by the end;", 100*wholeShare)
}

// arrivals returns how many requests came to a zone in a window.
func (w *world) arrivals(zone string, from time.Time) int {
	n := 0
	for _, b := range w.backends[zone] {
		for _, r := range b.Records() {
			if r.Arrived.After(from) && r.Arrived.Before(from.Add(shareWindow)) {
				n++
			}
		}
	}
	return n
}

// serviceBack tells when the last request that failed was due, and the share
// of failed requests in the second after the fault.
func serviceBack(_ *world, changed time.Time, all []load.Outcome) string {
	var last time.Duration
	sent, failed := 0, 0
	for _, o := range all {
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
