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

// The sizes of the target system.
const (
	targetServers  = 6200
	targetServices = 320
	targetChanges  = 6700
	targetClaims   = 200_000
)

// targetZones is the number of availability zones of the target system.
const targetZones = 25

// storedAnswerBytes is the size of each stored answer in the measured ledger, in
// bytes.
const storedAnswerBytes = 200

// repetitions is the number of repetitions over which an operation is timed.
const repetitions = 200

// Components returns every component that is measured.
func Components() []Component {
	return []Component{
		{
			Name: "membership table of an entry", Unit: "servers", Operation: "one changed record",
			Sizes: []int{10, 100, 1000, targetServers}, TargetSize: targetServers, Measure: measureMembershipTable,
		},
		{
			Name: "configuration of an entry", Unit: "services", Operation: "decode one full copy",
			Sizes: []int{10, 100, targetServices}, TargetSize: targetServices, Measure: measureConfiguration,
		},
		{
			Name: "configuration state machine of a control host", Unit: "changes", Operation: "plan and apply one change",
			Sizes: []int{100, 1000, targetChanges}, TargetSize: targetChanges, Measure: measureConfigurationMachine,
		},
		{
			Name: "ledger state machine of a control host", Unit: "claims", Operation: "apply one claim",
			Sizes: []int{1000, 10_000, 50_000}, TargetSize: targetClaims, Measure: measureLedger,
		},
	}
}

// backendServer returns the i-th backend server of the measured system.
func backendServer(i int) membership.BackendServer {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
	return membership.BackendServer{
		Service: fmt.Sprintf("service-%d", i%targetServices), Address: address,
		AvailabilityZone: fmt.Sprintf("zone-%d", i%targetZones), Slots: 2,
		Generation: 1, State: membership.Ready, Sequence: 1,
	}
}

// measureMembershipTable measures a membership table of size backend servers.
func measureMembershipTable(size int) Cost {
	now := time.Now()
	table, heap := measureHeap(func() *membership.Table {
		t := membership.NewTable(membership.Origin{Host: "entry", Epoch: 1}, time.Hour)
		for i := range size {
			_, _ = t.Put(backendServer(i), now)
		}
		return t
	})
	record, _ := json.Marshal(backendServer(size))
	work := measureTime(func(i int) {
		b := backendServer(i % size)
		b.Generation, b.Sequence = uint64(2+i/size), uint64(2+i)
		_, _ = table.Put(b, now)
	})
	return Cost{Size: size, HeapBytes: heap, MessageBytes: float64(len(record)), OperationTime: work}
}

// topology holds the availability zones of the measured state machine.
var topology = state.Topology{Regions: map[string]string{"zone": "region", "other": "region"}}

// applyIntent plans and confirms one intent on the state machine.
func applyIntent(m *state.Machine, kind state.IntentKind, subject string) {
	intent := state.Intent{Kind: kind, Subject: subject, Regions: []string{"region"}}
	c := m.Configuration()
	p := state.NewPlan(fmt.Sprintf("plan-%08d", c.Version), intent, c, topology, state.CapacityReport{})
	planCommand, _ := json.Marshal(state.Command{Plan: &p})
	_, _ = m.Apply(planCommand)
	confirm, _ := json.Marshal(state.Command{Confirm: &state.Confirm{
		ID: fmt.Sprintf("command-%08d", c.Version), Plan: p.ID, Digest: p.Digest, Operator: "operator", At: time.Now(),
	}})
	_, _ = m.Apply(confirm)
}

// newMachineWithServices returns a state machine with the given number of admitted
// services.
func newMachineWithServices(services int) *state.Machine {
	m := state.NewMachine()
	for i := range services {
		applyIntent(m, state.AdmitService, fmt.Sprintf("service-%d", i))
	}
	return m
}

// toggleZone takes an availability zone out for even i and brings it back for odd
// i.
func toggleZone(m *state.Machine, i int) {
	kind := state.TakeZoneOut
	if i%2 == 1 {
		kind = state.BringZoneBack
	}
	applyIntent(m, kind, "zone")
}

// measureConfiguration measures one copy of a configuration with size services.
func measureConfiguration(size int) Cost {
	data, _ := json.Marshal(newMachineWithServices(size).Configuration())
	decode := func() *state.Configuration {
		var c state.Configuration
		_ = json.Unmarshal(data, &c)
		return &c
	}
	_, heap := measureHeap(decode)
	return Cost{Size: size, HeapBytes: heap, MessageBytes: float64(len(data)), OperationTime: measureTime(func(int) { decode() })}
}

// measureConfigurationMachine measures the configuration's state machine with the
// target number of services after size changes.
func measureConfigurationMachine(size int) Cost {
	m, heap := measureHeap(func() *state.Machine {
		m := newMachineWithServices(targetServices)
		for i := range size {
			toggleZone(m, i)
		}
		return m
	})
	snapshot, _ := m.Snapshot()
	work := measureTime(func(i int) { toggleZone(m, i) })
	return Cost{Size: size, HeapBytes: heap, MessageBytes: float64(len(snapshot)), OperationTime: work}
}

// measureLedger measures the ledger's state machine after size claims.
func measureLedger(size int) Cost {
	apply := func(m *ledger.Machine, i int) {
		key, token := fmt.Sprintf("orders\x00account\x00key-%08d", i), fmt.Sprintf("token-%030d", i)
		claim, _ := json.Marshal(ledger.Command{Op: ledger.OpClaim, Key: key, Token: token, Digest: fmt.Sprintf("%064d", i)})
		answer := &ledger.Response{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, storedAnswerBytes)}
		settle, _ := json.Marshal(ledger.Command{Op: ledger.OpSettle, Key: key, Token: token, Response: answer})
		_, _ = m.Apply(claim)
		_, _ = m.Apply(settle)
	}
	m, heap := measureHeap(func() *ledger.Machine {
		m := ledger.NewMachine()
		for i := range size {
			apply(m, i)
		}
		return m
	})
	snapshot, _ := m.Snapshot()
	work := measureTime(func(i int) { apply(m, size+i) })
	return Cost{Size: size, HeapBytes: heap, MessageBytes: float64(len(snapshot)), OperationTime: work}
}
