package operator

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tanagerbarrow/state"
)

// fault is something that goes wrong just before a step.
type fault struct {
	name   string
	happen func(t *testing.T, w *wire)
}

// faults are all faults of the matrix.
var faults = []fault{
	{"none", func(*testing.T, *wire) {}},
	{"proposal lost", func(_ *testing.T, w *wire) { w.group.loseNext = loseProposal }},
	{"answer of the log lost", func(_ *testing.T, w *wire) { w.group.loseNext = loseAnswer }},
	{"answer to the operator lost", func(_ *testing.T, w *wire) { w.loseNext = true }},
	{"leader changed", func(_ *testing.T, w *wire) { w.group.leader = 1 - w.group.leader }},
	{"operator asks the other replica", func(_ *testing.T, w *wire) { w.first = 1 - w.first }},
	{"restarted", restart},
	{"snapshot taken", snapshot},
}

// restart starts every replica anew from the log.
func restart(_ *testing.T, w *wire) {
	for _, r := range w.group.replicas {
		r.serve(state.NewMachine(), 0)
	}
}

// snapshot starts every replica anew from a snapshot of the first.
func snapshot(t *testing.T, w *wire) {
	if _, err := w.group.replicas[0].catchUp(); err != nil {
		t.Fatal(err)
	}
	data, err := w.group.replicas[0].machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range w.group.replicas {
		m := state.NewMachine()
		if err := m.Restore(data); err != nil {
			t.Fatal(err)
		}
		r.serve(m, len(w.group.log))
	}
}

// story is what two operators do with one service each.
type story struct {
	t      *testing.T
	wire   *wire
	client *Client
	ana    state.Plan
	bat    state.Plan
	first  state.Answer
	lost   state.Answer
}

// confirm sends a confirmation, and again while no server answers.
func (s *story) confirm(id, operator string, p state.Plan) state.Answer {
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

// plan states an intent, and again while no server answers.
func (s *story) plan(id, service string) state.Plan {
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

// steps are what the operators do, in order.
var steps = []struct {
	name string
	do   func(s *story)
}{
	{"plan", func(s *story) { s.ana = s.plan("plan-ana", "a") }},
	{"conflicting plan", func(s *story) { s.bat = s.plan("plan-bat", "b") }},
	{"confirm", func(s *story) {
		s.first = s.confirm("ana-1", "ana", s.ana)
		if !s.first.Accepted || s.first.Version != 1 {
			s.t.Errorf("first confirmation: %+v", s.first)
		}
	}},
	{"resend", func(s *story) {
		if diff := cmp.Diff(s.first, s.confirm("ana-1", "ana", s.ana)); diff != "" {
			s.t.Errorf("resent command: %s", diff)
		}
	}},
	{"conflicting confirm", func(s *story) {
		s.lost = s.confirm("bat-1", "bat", s.bat)
		if s.lost.Accepted || !s.lost.Stale || s.lost.ConflictingOperator != "ana" || s.lost.ConflictingCommand != "ana-1" {
			s.t.Errorf("conflicting confirmation: %+v", s.lost)
		}
	}},
	{"resend of the loser", func(s *story) {
		again := s.confirm("bat-1", "bat", s.bat)
		if s.lost.NewPlan == nil {
			s.lost.NewPlan = again.NewPlan
		}
		if diff := cmp.Diff(s.lost, again); diff != "" {
			s.t.Errorf("resent loser: %s", diff)
		}
	}},
	{"confirm of the new plan", func(s *story) {
		if s.lost.NewPlan == nil {
			s.t.Fatal("no new plan was offered")
		}
		if a := s.confirm("bat-2", "bat", *s.lost.NewPlan); !a.Accepted || a.Version != 2 {
			s.t.Errorf("confirmation of the new plan: %+v", a)
		}
	}},
}

// check checks what is left after the story.
func (s *story) check() {
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

// run plays the story; strike makes the faults of a step happen.
func run(t *testing.T, strike func(t *testing.T, w *wire, step int)) {
	w := &wire{group: newGroup()}
	s := &story{t: t, wire: w, client: w.client(testKey)}
	for i, step := range steps {
		strike(t, w, i)
		step.do(s)
	}
	strike(t, w, len(steps))
	w.loseNext = false
	s.check()
}

// TestOperatorFaultMatrix plays every fault at every step, alone and together
// with every fault at the same or a later step.
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
						run(t, func(t *testing.T, w *wire, step int) {
							if step == i {
								f.happen(t, w)
							}
							if step == j {
								g.happen(t, w)
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
