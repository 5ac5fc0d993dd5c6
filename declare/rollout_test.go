package declare

import "testing"

// TestRolloutStages starts and moves roll-outs: one is in progress at a time, a stage is never
// left backwards, and a move of an earlier roll-out doesn't move a later one.
func TestRolloutStages(t *testing.T) {
	m := NewMachine()
	start := func(version string) Command {
		return Command{StartRollout: &RolloutOrder{Service: "s", TargetVersion: version}}
	}
	move := func(position uint64, stage RolloutStage) Command {
		return Command{MoveRollout: &RolloutMove{Service: "s", Position: position, Stage: stage}}
	}
	for step, c := range []struct {
		index   uint64
		command Command
		changes bool
		version string
		stage   RolloutStage
	}{
		{3, start("v2"), true, "v2", RolloutCanary},
		{4, start("v3"), false, "v2", RolloutCanary},
		{5, move(3, RolloutCompleted), false, "v2", RolloutCanary},
		{6, move(3, RolloutSwitching), true, "v2", RolloutSwitching},
		{7, move(3, RolloutRolledBack), true, "v2", RolloutRolledBack},
		{8, move(3, RolloutCompleted), false, "v2", RolloutRolledBack},
		{9, start("v3"), true, "v3", RolloutCanary},
		{10, move(3, RolloutRolledBack), false, "v3", RolloutCanary},
		{11, move(9, RolloutSwitching), true, "v3", RolloutSwitching},
		{12, move(9, RolloutCompleted), true, "v3", RolloutCompleted},
		{13, move(9, RolloutRolledBack), false, "v3", RolloutCompleted},
	} {
		if got := m.applyLocked(c.index, c.command); got != c.changes {
			t.Errorf("step %d: changed is %v", step, got)
		}
		if r := m.state.Rollout("s"); r == nil || r.TargetVersion != c.version || r.Stage != c.stage {
			t.Errorf("step %d: the roll-out is %+v", step, r)
		}
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := NewMachine()
	if err := other.Restore(data); err != nil {
		t.Fatal(err)
	}
	if r := other.state.Rollout("s"); r == nil || *r != *m.state.Rollout("s") {
		t.Errorf("a snapshot restores %+v", r)
	}
}
