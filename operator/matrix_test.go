package operator

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tanagerbarrow/state"
)

// fault is a failure that is injected just before a step.
type fault struct {
	name   string
	inject func(t *testing.T, transport *replicaTransport)
}

// faults are all faults of the matrix.
var faults = []fault{
	{"none", func(*testing.T, *replicaTransport) {}},
	{"proposal lost", func(_ *testing.T, transport *replicaTransport) { transport.group.nextLoss = loseProposal }},
	{"answer of the log lost", func(_ *testing.T, transport *replicaTransport) { transport.group.nextLoss = loseAnswer }},
	{"answer to the operator lost", func(_ *testing.T, transport *replicaTransport) { transport.loseNextResponse = true }},
	{"leader changed", func(_ *testing.T, transport *replicaTransport) { transport.group.leader = 1 - transport.group.leader }},
	{"operator asks the other replica", func(_ *testing.T, transport *replicaTransport) { transport.preferred = 1 - transport.preferred }},
	{"restarted", restartReplicas},
	{"snapshot taken", restoreSnapshot},
}

// restartReplicas restarts every replica with an empty machine, which applies
// the log again.
func restartReplicas(_ *testing.T, transport *replicaTransport) {
	for _, r := range transport.group.replicas {
		r.useMachine(state.NewMachine(), 0)
	}
}

// restoreSnapshot restarts every replica from a snapshot of the first one.
func restoreSnapshot(t *testing.T, transport *replicaTransport) {
	if _, err := transport.group.replicas[0].catchUp(); err != nil {
		t.Fatal(err)
	}
	data, err := transport.group.replicas[0].machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range transport.group.replicas {
		m := state.NewMachine()
		if err := m.Restore(data); err != nil {
			t.Fatal(err)
		}
		r.useMachine(m, len(transport.group.log))
	}
}

// scenario is a run of two operators, ana and bat, who admit one service each.
type scenario struct {
	t          *testing.T
	transport  *replicaTransport
	client     *Client
	planAna    state.Plan
	planBat    state.Plan
	accepted   state.Answer
	conflicted state.Answer
}

// confirm sends a confirmation and repeats it while no server responds.
func (s *scenario) confirm(id, operator string, p state.Plan) state.Answer {
	s.t.Helper()
	for range 4 {
		a, err := s.client.Confirm(p.ID, Confirmation{ID: id, Operator: operator, Digest: p.Digest})
		if err == nil {
			return a
		}
	}
	s.t.Fatalf("command %q got no answer", id)
	return state.Answer{}
}

// plan requests a plan and repeats the request while no server responds.
func (s *scenario) plan(id, service string) state.Plan {
	s.t.Helper()
	for range 4 {
		p, err := s.client.PlanWithID(id, state.Intent{Kind: state.AdmitService, Subject: service})
		if err == nil {
			return p
		}
	}
	s.t.Fatalf("plan %q got no answer", id)
	return state.Plan{}
}

// steps are the actions of the operators, in order.
var steps = []struct {
	name string
	do   func(s *scenario)
}{
	{"plan", func(s *scenario) { s.planAna = s.plan("plan-ana", "a") }},
	{"conflicting plan", func(s *scenario) { s.planBat = s.plan("plan-bat", "b") }},
	{"confirm", func(s *scenario) {
		s.accepted = s.confirm("ana-1", "ana", s.planAna)
		if !s.accepted.Accepted || s.accepted.Version != 1 {
			s.t.Errorf("first confirmation: %+v", s.accepted)
		}
	}},
	{"resend", func(s *scenario) {
		if diff := cmp.Diff(s.accepted, s.confirm("ana-1", "ana", s.planAna)); diff != "" {
			s.t.Errorf("resent command: %s", diff)
		}
	}},
	{"conflicting confirm", func(s *scenario) {
		s.conflicted = s.confirm("bat-1", "bat", s.planBat)
		if s.conflicted.Accepted || !s.conflicted.Stale || s.conflicted.ConflictingOperator != "ana" || s.conflicted.ConflictingCommand != "ana-1" {
			s.t.Errorf("conflicting confirmation: %+v", s.conflicted)
		}
	}},
	{"resend of the loser", func(s *scenario) {
		again := s.confirm("bat-1", "bat", s.planBat)
		if s.conflicted.NewPlan == nil {
			s.conflicted.NewPlan = again.NewPlan
		}
		if diff := cmp.Diff(s.conflicted, again); diff != "" {
			s.t.Errorf("resent loser: %s", diff)
		}
	}},
	{"confirm of the new plan", func(s *scenario) {
		if s.conflicted.NewPlan == nil {
			s.t.Fatal("no new plan was offered")
		}
		if a := s.confirm("bat-2", "bat", *s.conflicted.NewPlan); !a.Accepted || a.Version != 2 {
			s.t.Errorf("confirmation of the new plan: %+v", a)
		}
	}},
}

// checkOutcome checks the audit log and the configuration at the end of a run.
func (s *scenario) checkOutcome() {
	h, err := s.client.History(10)
	if err != nil {
		s.t.Fatal(err)
	}
	var got []string
	for _, r := range h.Records {
		got = append(got, fmt.Sprintf("%s %s %t %d", r.CommandID, r.Operator, r.Accepted, r.Version))
	}
	want := []string{"ana-1 ana true 1", "bat-1 bat false 1", "bat-2 bat true 2"}
	if diff := cmp.Diff(want, got); diff != "" {
		s.t.Errorf("history: %s", diff)
	}
	config, err := s.client.Configuration()
	if err != nil || config.Version != 2 || len(config.Services) != 2 {
		s.t.Errorf("configuration %+v, %v", config, err)
	}
}

// runScenario runs all steps and checks the outcome. injectFaults injects the
// faults of a step before it.
func runScenario(t *testing.T, injectFaults func(t *testing.T, transport *replicaTransport, step int)) {
	transport := &replicaTransport{group: newGroup()}
	s := &scenario{t: t, transport: transport, client: transport.client(testKey)}
	for i, step := range steps {
		injectFaults(t, transport, i)
		step.do(s)
	}
	injectFaults(t, transport, len(steps))
	transport.loseNextResponse = false
	s.checkOutcome()
}

// TestOperatorFaultMatrix injects every fault before every step, alone and
// together with every fault at the same or a later step.
func TestOperatorFaultMatrix(t *testing.T) {
	var count atomic.Int64
	t.Cleanup(func() {
		t.Logf("%d cases: %d faults, alone and in pairs, at %d steps", count.Load(), len(faults)-1, len(steps)+1)
	})
	for i := range len(steps) + 1 {
		for _, f := range faults[1:] {
			t.Run(fmt.Sprintf("%s at %d", f.name, i), func(t *testing.T) {
				t.Parallel()
				for j := i; j < len(steps)+1; j++ {
					for _, g := range faults {
						if g.name == faults[0].name && j > i {
							continue
						}
						count.Add(1)
						runScenario(t, func(t *testing.T, transport *replicaTransport, step int) {
							if step == i {
								f.inject(t, transport)
							}
							if step == j {
								g.inject(t, transport)
							}
						})
						if t.Failed() {
							t.Fatalf("together with %s at %d", g.name, j)
						}
					}
				}
			})
		}
	}
}
