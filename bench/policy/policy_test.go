package policy

import (
	"testing"
	"time"
)

// testLength keeps runs under the race detector short.
const testLength = time.Second

// targetLength is long enough that a target is not missed by the spread of one
// short run: over 1 s the p99 of single accounts moves by a quarter.
const targetLength = 4 * time.Second

// runNamed runs a policy through a case of the first layout with one seed.
func runNamed(t *testing.T, length time.Duration, name string, p Policy) *Result {
	t.Helper()
	for _, c := range Cases() {
		if c.Name == name {
			c.Length = length
			return Run(Layouts()[0], c, p, 1)
		}
	}
	t.Fatalf("no case %q", name)
	return nil
}

func TestChosenPolicyKeepsItsTargets(t *testing.T) {
	t.Parallel()
	limit := runNamed(t, targetLength, "calm-80", Central()).Quantile(99)
	calm := runNamed(t, targetLength, "calm-80", Chosen())
	if got := calm.Quantile(99); got > 1.3*limit {
		t.Errorf("p99 at 80%% is %.1f ms, the limit's is %.1f", got, limit)
	}
	if calm.Probes+calm.Control[betweenRegions] != 0 {
		t.Errorf("%d probes and %d bytes between regions were spent on measuring", calm.Probes, calm.Control[betweenRegions])
	}
	over := runNamed(t, targetLength, "overload-200", Chosen())
	goodput := float64(over.Served) / over.Seconds / over.Capacity
	t.Logf("goodput %.3f of capacity", goodput)
	if goodput < 0.9 {
		t.Errorf("goodput at 200%% load is %.2f of capacity", goodput)
	}
	if got := float64(over.Modest.ValueAtQuantile(99)) / 1000; got > 2*calm.Quantile(99) {
		t.Errorf("p99 of accounts within their share is %.1f ms, %.1f at 80%% load", got, calm.Quantile(99))
	}
}

func TestChosenPolicySurvivesACutExchangeAndFailFastServers(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"cut", "fail-fast"} {
		limit := runNamed(t, testLength, name, Central()).Quantile(99)
		r := runNamed(t, testLength, name, Chosen())
		if got := r.Quantile(99); got > 1.3*limit || r.Share(r.Failed) > 1 {
			t.Errorf("%s: p99 %.1f ms, the limit's %.1f, %.2f%% failed", name, got, limit, r.Share(r.Failed))
		}
	}
}

func TestServerServesItsQueueInOrderAndCollapsesWhenCold(t *testing.T) {
	w := &World{Layout: Layouts()[0], result: newResult(), policy: RoundRobin()}
	s := &server{w: w, slow: 1}
	w.servers = []*server{s}
	for range 3 {
		s.arrive(&request{work: meanService, deadline: callerWaits})
	}
	if len(s.running) != 2 || len(s.waiting) != 1 || w.result.Collapses != 0 {
		t.Fatalf("%d run, %d wait, %d collapses", len(s.running), len(s.waiting), w.result.Collapses)
	}
	s.running, s.waiting, s.cold = nil, nil, true
	s.arrive(&request{work: meanService, deadline: callerWaits})
	if w.result.Collapses != 0 {
		t.Fatal("one request makes a cold server collapse")
	}
	s.arrive(&request{work: meanService, deadline: callerWaits})
	if w.result.Collapses != 1 || s.factor() != collapseFactor {
		t.Fatal("two requests at once do not make a cold server collapse")
	}
}
