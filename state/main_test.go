package state

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// rapidSeed is the seed of every run, so that each draws the same cases.
const rapidSeed = "4"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testTopology has four availability zones in two regions.
var testTopology = Topology{Regions: map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south"}}

// pointer returns a pointer to n.
func pointer(n int) *int { return &n }

// drawIntent draws an intent that may be valid or not.
func drawIntent(t *rapid.T) Intent {
	i := Intent{Kind: rapid.SampledFrom(IntentKinds()).Draw(t, "kind")}
	switch i.Kind {
	case TakeZoneOut, BringZoneBack:
		i.Subject = rapid.SampledFrom([]string{"n1", "n2", "s1", "nowhere"}).Draw(t, "zone")
	case PinRoute, UnpinRoute:
		i.Subject = rapid.SampledFrom([]string{"/a", "/b/orders"}).Draw(t, "route")
	default:
		i.Subject = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "subject")
	}
	if i.Kind == PinAccount || i.Kind == PinRoute {
		i.Regions = []string{rapid.SampledFrom([]string{"north", "south"}).Draw(t, "region")}
	}
	if i.Kind == SetServiceLimits {
		i.ServiceLimits = &ServiceLimits{QueueLength: pointer(rapid.IntRange(-1, 9).Draw(t, "queue"))}
	}
	if i.Kind == SetAccountLimits {
		i.AccountLimits = &AccountLimits{ShareWeight: pointer(rapid.IntRange(0, 9).Draw(t, "weight"))}
	}
	i.Force = rapid.Bool().Draw(t, "force")
	return i
}

// history is a drawn sequence of log entries and the machine that applied them.
type history struct {
	machine  *Machine
	commands [][]byte
	confirms []Confirm
	plans    []Plan
}

// apply applies a command.
func (h *history) apply(t *rapid.T, c Command) Result {
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	h.commands = append(h.commands, data)
	return applyTo(t, h.machine, data)
}

// applyTo applies an encoded command to a machine.
func applyTo(t rapid.TB, m *Machine, data []byte) Result {
	out, err := m.Apply(data)
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(out, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// step draws and applies one command: a plan, a confirmation of a drawn plan, or
// a repeated confirmation. The drawn plan may have been refused or evicted.
func (h *history) step(t *rapid.T, n int) (Command, Result) {
	var c Command
	switch kind := rapid.IntRange(0, 4).Draw(t, "command"); {
	case kind == 0 || len(h.plans) == 0:
		p := NewPlan(fmt.Sprintf("plan-%d", n), drawIntent(t), h.machine.Configuration(), testTopology, CapacityReport{})
		c.Plan = &p
		h.plans = append(h.plans, p)
	case kind == 1 && len(h.confirms) > 0:
		repeated := rapid.SampledFrom(h.confirms).Draw(t, "again")
		repeated.At = repeated.At.Add(time.Second)
		c.Confirm = &repeated
	default:
		p := rapid.SampledFrom(h.plans).Draw(t, "plan")
		c.Confirm = &Confirm{
			ID: fmt.Sprintf("command-%d", n), Plan: p.ID, Digest: p.Digest,
			Operator: rapid.SampledFrom([]string{"ana", "bat"}).Draw(t, "operator"), At: time.Unix(int64(n), 0).UTC(),
		}
		if rapid.IntRange(0, 9).Draw(t, "wrong digest") == 0 {
			c.Confirm.Digest = "wrong"
		}
		h.confirms = append(h.confirms, *c.Confirm)
	}
	return c, h.apply(t, c)
}

// snapshotOf returns a machine's snapshot.
func snapshotOf(t rapid.TB, m *Machine) string {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
