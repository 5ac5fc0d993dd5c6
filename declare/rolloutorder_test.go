package declare

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestRolloutOrdersAreChecked checks what becomes of orders in each stage of the roll-out before.
func TestRolloutOrdersAreChecked(t *testing.T) {
	began := time.UnixMilli(1_700_000_000_000)
	first := RolloutOrder{Service: "s", TargetVersion: "v2", DurationMillis: 12_000, BeganAt: began.UnixMilli()}
	longer := first
	longer.DurationMillis = 30_000
	other := RolloutOrder{Service: "s", TargetVersion: "v3", DurationMillis: 12_000}
	unrelated := RolloutOrder{Service: "t", TargetVersion: "v3", DurationMillis: 12_000}
	for name, c := range map[string]struct {
		stages   []RolloutStage
		order    RolloutOrder
		position uint64
		age      time.Duration
		begins   bool
		err      error
	}{
		"sent again while it runs":          {nil, first, 3, time.Second, false, nil},
		"sent again late while it runs":     {nil, first, 99, time.Hour, false, nil},
		"sent again while it switches":      {[]RolloutStage{RolloutSwitching}, first, 3, time.Second, false, nil},
		"another version while it runs":     {nil, other, 99, time.Second, false, ErrRolloutInProgress},
		"another service":                   {nil, unrelated, 99, time.Second, true, nil},
		"the version that it brought in":    {[]RolloutStage{RolloutSwitching, RolloutCompleted}, first, 99, time.Hour, false, nil},
		"late behind its own completion":    {[]RolloutStage{RolloutSwitching, RolloutCompleted}, first, 3, time.Second, false, nil},
		"another version behind it":         {[]RolloutStage{RolloutSwitching, RolloutCompleted}, other, 99, time.Second, true, nil},
		"another version from before it":    {[]RolloutStage{RolloutSwitching, RolloutCompleted}, other, 3, time.Second, false, ErrOutdatedOrder},
		"sent again behind its roll-back":   {[]RolloutStage{RolloutRolledBack}, first, 99, 5 * time.Second, false, nil},
		"late behind its roll-back":         {[]RolloutStage{RolloutRolledBack}, first, 3, time.Hour, false, ErrOutdatedOrder},
		"the same version once more":        {[]RolloutStage{RolloutRolledBack}, first, 99, time.Hour, true, nil},
		"the same version with another due": {[]RolloutStage{RolloutRolledBack}, longer, 99, 5 * time.Second, true, nil},
	} {
		m := NewMachine()
		applyAt(t, m, 5, Command{StartRollout: &first})
		for n, stage := range c.stages {
			applyAt(t, m, uint64(6+n), Command{MoveRollout: &RolloutMove{Service: "s", Position: 5, Stage: stage}})
		}
		begins, err := m.CheckRollout(c.order, c.position, began.Add(c.age))
		if begins != c.begins || !errors.Is(err, c.err) || (c.err == nil && err != nil) {
			t.Errorf("%s: begins %v, %v", name, begins, err)
		}
	}
}

// applyAt applies a command at an index.
func applyAt(t *testing.T, m *Machine, index uint64, c Command) {
	t.Helper()
	data, err := json.Marshal(c)
	if err == nil {
		_, err = m.ApplyAt(index, data)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestSnapshotWithoutRollouts restores a snapshot of a build that drops roll-outs: the state has none,
// and an order from before the snapshot is outdated.
func TestSnapshotWithoutRollouts(t *testing.T) {
	m := NewMachine()
	o := RolloutOrder{Service: "s", TargetVersion: "v2", DurationMillis: 12_000}
	applyAt(t, m, 5, Command{StartRollout: &o})
	if err := m.RestoreAt(9, []byte(`{"document":{},"zones_out":{},"leavers":null}`)); err != nil {
		t.Fatal(err)
	}
	if s, _ := m.State(); s.Rollout("s") != nil {
		t.Errorf("the roll-out is %+v", s.Rollout("s"))
	}
	applyAt(t, m, 10, Command{MoveRollout: &RolloutMove{Service: "s", Position: 5, Stage: RolloutSwitching}})
	if _, err := m.CheckRollout(o, 8, time.Now()); !errors.Is(err, ErrOutdatedOrder) {
		t.Errorf("an order from before the snapshot: %v", err)
	}
	if begins, err := m.CheckRollout(o, 9, time.Now()); !begins || err != nil {
		t.Errorf("an order of now: %v, %v", begins, err)
	}
}

// TestInvalidRolloutOrdersAreRefused checks the limits of orders.
func TestInvalidRolloutOrdersAreRefused(t *testing.T) {
	valid := RolloutOrder{Service: "s", TargetVersion: "v2", DurationMillis: 12_000}
	if err := valid.Check(); err != nil {
		t.Errorf("a valid order: %v", err)
	}
	for _, change := range []func(*RolloutOrder){
		func(o *RolloutOrder) { o.Service = "" }, func(o *RolloutOrder) { o.TargetVersion = "" },
		func(o *RolloutOrder) { o.Service = strings.Repeat("x", 300) }, func(o *RolloutOrder) { o.TargetVersion = strings.Repeat("x", 300) },
		func(o *RolloutOrder) { o.DurationMillis = 0 }, func(o *RolloutOrder) { o.DurationMillis = -1 },
		func(o *RolloutOrder) { o.DurationMillis = 1 << 62 },
	} {
		o := valid
		change(&o)
		if err := o.Check(); !errors.Is(err, ErrInvalidRollout) {
			t.Errorf("%.60v is not refused: %v", o, err)
		}
	}
}
