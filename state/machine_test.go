package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestSameCommandsGiveSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{machine: NewMachine()}
		other := NewMachine()
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			h.step(t, n)
			applyTo(t, other, h.commands[n])
		}
		if diff := cmp.Diff(snapshotOf(t, h.machine), snapshotOf(t, other)); diff != "" {
			t.Fatalf("states differ: %s", diff)
		}
	})
}

func TestSnapshotAndLogTailEqualFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{machine: NewMachine()}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		cut := rapid.IntRange(0, steps-1).Draw(t, "cut")
		restored := NewMachine()
		for n := range steps {
			if n == cut {
				if err := restored.Restore([]byte(snapshotOf(t, h.machine))); err != nil {
					t.Fatal(err)
				}
			}
			_, want := h.step(t, n)
			if n < cut {
				continue
			}
			if diff := cmp.Diff(want, applyTo(t, restored, h.commands[n])); diff != "" {
				t.Fatalf("answers differ after a snapshot: %s", diff)
			}
		}
		if diff := cmp.Diff(snapshotOf(t, h.machine), snapshotOf(t, restored)); diff != "" {
			t.Fatalf("states differ: %s", diff)
		}
	})
}

func TestCommandAppliesOnceAndVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{machine: NewMachine()}
		first := map[string]Answer{}
		var accepted, version uint64
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c, r := h.step(t, n)
			now := h.machine.Configuration().Version
			if now < version || now > version+1 {
				t.Fatalf("version went from %d to %d", version, now)
			}
			version = now
			if c.Confirm == nil {
				continue
			}
			previous, repeated := first[c.Confirm.ID]
			if repeated && !cmp.Equal(previous, *r.Answer) {
				t.Fatalf("command %q got %+v, first %+v", c.Confirm.ID, r.Answer, previous)
			}
			if !repeated && r.Answer.Accepted {
				accepted++
			}
			first[c.Confirm.ID] = *r.Answer
		}
		if accepted != version {
			t.Fatalf("%d commands were accepted, the version is %d", accepted, version)
		}
	})
}

func TestExactlyOneWinsAmongEqualBaseVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{machine: NewMachine()}
		var confirms []Confirm
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			p := NewPlan("plan-"+name, Intent{Kind: AdmitService, Subject: name}, h.machine.Configuration(), testTopology, CapacityReport{})
			h.apply(t, Command{Plan: &p})
			confirms = append(confirms, Confirm{ID: "command-" + name, Plan: p.ID, Digest: p.Digest, Operator: "of " + name})
		}
		var accepted Confirm
		for i, c := range rapid.Permutation(confirms).Draw(t, "order") {
			a := h.apply(t, Command{Confirm: &c}).Answer
			switch {
			case i == 0 && !a.Accepted:
				t.Fatalf("the first confirmation was refused: %+v", a)
			case i == 0:
				accepted = c
			case a.Accepted || !a.Stale || a.ConflictingCommand != accepted.ID || a.ConflictingOperator != accepted.Operator:
				t.Fatalf("a later confirmation got %+v, the accepted one is %+v", a, accepted)
			}
		}
	})
}

func TestRefusals(t *testing.T) {
	m := NewMachine()
	p := NewPlan("plan", Intent{Kind: AdmitService, Subject: "a"}, m.Configuration(), testTopology, CapacityReport{})
	other := NewPlan("other", Intent{Kind: AdmitService, Subject: "b"}, m.Configuration(), testTopology, CapacityReport{})
	confirm := func(id, plan, digest string) Answer { return m.confirm(Confirm{ID: id, Plan: plan, Digest: digest}) }
	if a := confirm("1", "plan", p.Digest); a.Accepted || a.Reason == "" {
		t.Errorf("a plan that was never stored: %+v", a)
	}
	m.storePlan(p)
	m.storePlan(other)
	if again := m.storePlan(Plan{ID: "other"}); again.Digest != other.Digest {
		t.Errorf("a plan ID that was stored before got %+v", again)
	}
	if a := confirm("2", "plan", "wrong"); a.Accepted || a.Reason == "" {
		t.Errorf("a wrong digest: %+v", a)
	}
	if a := confirm("3", "plan", p.Digest); !a.Accepted {
		t.Errorf("the right digest: %+v", a)
	}
	if a := confirm("3", "other", other.Digest); a.Accepted || a.Stale || a.Reason == "" {
		t.Errorf("a command ID of another plan: %+v", a)
	}
	if got := m.History(2); len(got) != 2 || got[1].CommandID != "3" || len(got[1].Changes) != 1 {
		t.Errorf("history is %+v", got)
	}
}

func TestFIFOEvictsOldest(t *testing.T) {
	f := newFIFO[int](2)
	f.put("a", 1)
	f.put("a", 9)
	f.put("b", 2)
	f.put("c", 3)
	if diff := cmp.Diff([]int{2, 3}, f.list()); diff != "" {
		t.Fatal(diff)
	}
	if _, ok := f.get("a"); ok {
		t.Fatal("the oldest value was not evicted")
	}
}
