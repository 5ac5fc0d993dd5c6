package policy

import (
	"testing"
	"time"
)

// testLength keeps runs under the race detector short.
const testLength = time.Second

// targetLength is long enough that random variation does not miss a target: in runs
// of 1 s the p99 of single accounts varies by a quarter.
const targetLength = 4 * time.Second

// runNamed runs a policy under the named case, with the first layout and seed 1.
func runNamed(t *testing.T, length time.Duration, name string, p Policy) *Result {
	t.Helper()
	for _, c := range Cases() {
		if c.Name == name {
			c.MeasuredTime = length
			return Run(Layouts()[0], c, p, 1)
		}
	}
	t.Fatalf("no case %q", name)
	return nil
}

func TestChosenPolicyKeepsItsTargets(t *testing.T) {
	t.Parallel()
	limit := runNamed(t, targetLength, "calm-80", CentralQueue()).QuantileMillis(99)
	calm := runNamed(t, targetLength, "calm-80", DaemonPolicy())
	if got := calm.QuantileMillis(99); got > 1.3*limit {
		t.Errorf("p99 at 80%% is %.1f ms, the central queue's is %.1f", got, limit)
	}
	if calm.Probes+calm.ControlBytes[betweenRegions] != 0 {
		t.Errorf("the policy sent %d probes and %d control bytes between regions, want none", calm.Probes, calm.ControlBytes[betweenRegions])
	}
	overload := runNamed(t, targetLength, "overload-200", DaemonPolicy())
	goodput := float64(overload.Served) / overload.MeasuredSeconds / overload.Capacity
	t.Logf("goodput %.3f of capacity", goodput)
	if goodput < 0.9 {
		t.Errorf("goodput at 200%% load is %.2f of capacity", goodput)
	}
	if got := float64(overload.FairShareLatency.ValueAtQuantile(99)) / 1000; got > 2*calm.QuantileMillis(99) {
		t.Errorf("p99 of accounts within their fair share is %.1f ms at 200%% load, %.1f ms at 80%%", got, calm.QuantileMillis(99))
	}
}

func TestChosenPolicySurvivesACutExchangeAndFailFastServers(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"cut", "fail-fast"} {
		limit := runNamed(t, testLength, name, CentralQueue()).QuantileMillis(99)
		r := runNamed(t, testLength, name, DaemonPolicy())
		if got := r.QuantileMillis(99); got > 1.3*limit || r.Percent(r.Failed) > 1 {
			t.Errorf("%s: p99 %.1f ms, the central queue's %.1f ms, %.2f%% failed", name, got, limit, r.Percent(r.Failed))
		}
	}
}

func TestServerServesItsQueueInOrderAndCollapsesWhenCold(t *testing.T) {
	sim := &Simulation{Layout: Layouts()[0], result: newResult(), policy: RoundRobin()}
	s := &fakeServer{sim: sim, faultSlowdown: 1}
	sim.servers = []*fakeServer{s}
	for range 3 {
		s.arrive(&request{serviceTime: meanService, deadline: callerTimeout})
	}
	if len(s.running) != 2 || len(s.waiting) != 1 || sim.result.Collapses != 0 {
		t.Fatalf("%d requests running, %d waiting, %d collapses; want 2, 1, 0", len(s.running), len(s.waiting), sim.result.Collapses)
	}
	s.running, s.waiting, s.cold = nil, nil, true
	s.arrive(&request{serviceTime: meanService, deadline: callerTimeout})
	if sim.result.Collapses != 0 {
		t.Fatal("a cold server collapsed under one request")
	}
	s.arrive(&request{serviceTime: meanService, deadline: callerTimeout})
	if sim.result.Collapses != 1 || s.slowdown() != collapseSlowdown {
		t.Fatal("a cold server did not collapse under two concurrent requests")
	}
}
