package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"tanagerbarrow/ledger"
	"tanagerbarrow/membership"
	"tanagerbarrow/state"
)

// The sizes of the letter.
const (
	targetServers  = 6200
	targetServices = 320
	targetChanges  = 6700
	targetClaims   = 200_000
)

// zones is the number of availability zones in the letter.
const zones = 25

// answerBytes is the size of a stored answer in the measured ledger.
const answerBytes = 200

// repeats is how often an operation is timed.
const repeats = 200

// Components returns every part that is measured.
func Components() []Component {
	return []Component{
		{
			Name: "membership table of an entry", Unit: "servers", Operation: "one changed record",
			Sizes: []int{10, 100, 1000, targetServers}, Target: targetServers, Measure: measureTable,
		},
		{
			Name: "configuration of an entry", Unit: "services", Operation: "decode one full copy",
			Sizes: []int{10, 100, targetServices}, Target: targetServices, Measure: measureConfiguration,
		},
		{
			Name: "configuration state machine of a control host", Unit: "changes", Operation: "plan and apply one change",
			Sizes: []int{100, 1000, targetChanges}, Target: targetChanges, Measure: measureMachine,
		},
		{
			Name: "ledger state machine of a control host", Unit: "claims", Operation: "apply one claim",
			Sizes: []int{1000, 10_000, 50_000}, Target: targetClaims, Measure: measureLedger,
		},
	}
}

// server returns the i-th backend server of the measured system.
func server(i int) membership.BackendServer {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
	return membership.BackendServer{
		Service: fmt.Sprintf("service-%d", i%targetServices), Address: address,
		AvailabilityZone: fmt.Sprintf("zone-%d", i%zones), Slots: 2,
		Generation: 1, State: membership.Ready, Sequence: 1,
	}
}

// measureTable measures the table of backend servers.
func measureTable(size int) Cost {
	now := time.Now()
	table, heap := heapOf(func() *membership.Table {
		t := membership.NewTable(membership.Origin{Host: "entry", Epoch: 1}, time.Hour)
		for i := range size {
			_, _ = t.Put(server(i), now)
		}
		return t
	})
	one, _ := json.Marshal(server(size))
	work := timeOf(func(i int) {
		b := server(i % size)
		b.Generation, b.Sequence = uint64(2+i/size), uint64(2+i)
		_, _ = table.Put(b, now)
	})
	return Cost{Size: size, Heap: heap, Wire: float64(len(one)), Work: work}
}

// places are the availability zones of the measured state machine.
var places = state.Topology{Regions: map[string]string{"zone": "region", "other": "region"}}

// change plans and confirms one intent.
func change(m *state.Machine, kind state.IntentKind, subject string) {
	intent := state.Intent{Kind: kind, Subject: subject, Regions: []string{"region"}}
	c := m.Configuration()
	p := state.NewPlan(fmt.Sprintf("plan-%08d", c.Version), intent, c, places, state.CapacityReport{})
	keep, _ := json.Marshal(state.Command{Plan: &p})
	_, _ = m.Apply(keep)
	confirm, _ := json.Marshal(state.Command{Confirm: &state.Confirm{
		ID: fmt.Sprintf("command-%08d", c.Version), Plan: p.ID, Digest: p.Digest, Operator: "operator", At: time.Now(),
	}})
	_, _ = m.Apply(confirm)
}

// newMachine returns a state machine with a number of admitted services.
func newMachine(services int) *state.Machine {
	m := state.NewMachine()
	for i := range services {
		change(m, state.AdmitService, fmt.Sprintf("service-%d", i))
	}
	return m
}

// move takes an availability zone out or brings it back.
func move(m *state.Machine, i int) {
	kind := state.TakeZoneOut
	if i%2 == 1 {
		kind = state.BringZoneBack
	}
	change(m, kind, "zone")
}

// measureConfiguration measures one copy of the configuration.
func measureConfiguration(size int) Cost {
	data, _ := json.Marshal(newMachine(size).Configuration())
	decode := func() *state.Configuration {
		var c state.Configuration
		_ = json.Unmarshal(data, &c)
		return &c
	}
	_, heap := heapOf(decode)
	return Cost{Size: size, Heap: heap, Wire: float64(len(data)), Work: timeOf(func(int) { decode() })}
}

// measureMachine measures the configuration's state machine at the letter's
// number of services, as changes pile up.
func measureMachine(size int) Cost {
	m, heap := heapOf(func() *state.Machine {
		m := newMachine(targetServices)
		for i := range size {
			move(m, i)
		}
		return m
	})
	snapshot, _ := m.Snapshot()
	work := timeOf(func(i int) { move(m, i) })
	return Cost{Size: size, Heap: heap, Wire: float64(len(snapshot)), Work: work}
}

// measureLedger measures the ledger's state machine.
func measureLedger(size int) Cost {
	apply := func(m *ledger.Machine, i int) {
		key, token := fmt.Sprintf("orders\x00account\x00key-%08d", i), fmt.Sprintf("token-%030d", i)
		claim, _ := json.Marshal(ledger.Command{Op: ledger.OpClaim, Key: key, Token: token, Digest: fmt.Sprintf("%064d", i)})
		answer := &ledger.Response{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, answerBytes)}
		settle, _ := json.Marshal(ledger.Command{Op: ledger.OpSettle, Key: key, Token: token, Response: answer})
		_, _ = m.Apply(claim)
		_, _ = m.Apply(settle)
	}
	m, heap := heapOf(func() *ledger.Machine {
		m := ledger.NewMachine()
		for i := range size {
			apply(m, i)
		}
		return m
	})
	snapshot, _ := m.Snapshot()
	work := timeOf(func(i int) { apply(m, size+i) })
	return Cost{Size: size, Heap: heap, Wire: float64(len(snapshot)), Work: work}
}
