package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"tanagerbarrow/balance"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/state"
)

// A cold backend server must be admitted even if the entry that owns its
// admission has no requests of its own. Which entry owns it depends on its
// address, so several addresses are tested.
func TestIdleOwnerAdmitsForOthers(t *testing.T) {
	for port := range uint16(8) {
		if !admitted(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1)) {
			t.Errorf("the entry was never allowed to send to the cold backend server with port %d", port+1)
		}
	}
}

// admitted reports whether the first of two entries, the only one with requests,
// is allowed to send one to a cold backend server.
func admitted(address netip.AddrPort) bool {
	now := time.Now()
	names := []string{"e1", "e2"}
	view := &membership.View{Services: map[string][]membership.BackendServer{"s": {{
		Service: "s", Address: address, AvailabilityZone: "a", Slots: 2, Generation: 1, State: membership.Cold,
	}}}}
	config := state.NewConfiguration()
	var entries []*Balancer
	for _, name := range names {
		entries = append(entries, &Balancer{
			Members: func() *membership.View { return view }, Configuration: func() *state.Configuration { return config },
			Place: balance.Place{AvailabilityZone: "a", Regions: map[string]string{"a": "north"}},
			Loads: balance.NewLoads(balance.Options{Self: name, Live: func() []string { return names }}, now),
		})
	}
	for range 20 {
		now = now.Add(balance.ExchangePeriod)
		for _, b := range entries {
			b.Refresh()
			b.Loads.Tick(now)
		}
		if _, ok, _ := entries[0].start(&request.Request{Service: state.Service{Name: "s"}}, Exclusions{}, 0); ok {
			return true
		}
		sendReport(entries[0].Loads, entries[1].Loads, "e2", now)
		sendReport(entries[1].Loads, entries[0].Loads, "e1", now)
	}
	return false
}

// sendReport sends the load report of one entry, if it has one, to another entry.
func sendReport(from, to *balance.Loads, toName string, now time.Time) {
	if report, ok := from.Report(toName, now); ok {
		from.Acknowledge(toName, report, to.Accept(report, now), now)
	}
}
