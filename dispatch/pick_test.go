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

// A cold backend server must be admitted also where its owner has no requests of
// its own.
func TestIdleOwnerAdmitsForOthers(t *testing.T) {
	now := time.Now()
	names := []string{"e1", "e2"}
	view := &membership.View{Services: map[string][]membership.BackendServer{"s": {{
		Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9000"), AvailabilityZone: "a",
		Slots: 2, Generation: 1, State: membership.Cold,
	}}}}
	config := state.NewConfiguration()
	entries := map[string]*Balancer{}
	for _, name := range names {
		entries[name] = &Balancer{
			Members: func() *membership.View { return view }, Configuration: func() *state.Configuration { return config },
			Place: balance.Place{AvailabilityZone: "a", Regions: map[string]string{"a": "north"}},
			Loads: balance.NewLoads(balance.Options{Self: name, Live: func() []string { return names }}, now),
		}
	}
	r := &request.Request{Service: state.Service{Name: "s"}}
	for _, asking := range names {
		ok := false
		for range 20 {
			now = now.Add(balance.ExchangePeriod)
			for _, b := range entries {
				b.Refresh()
				b.Loads.Tick(now)
			}
			started, got, _ := entries[asking].start(r, nil, 0)
			if got {
				entries[asking].Release(started, balance.Answer{Kind: balance.Good})
				ok = true
			}
			tell(entries["e1"].Loads, entries["e2"].Loads, "e2", now)
			tell(entries["e2"].Loads, entries["e1"].Loads, "e1", now)
		}
		if !ok {
			t.Fatalf("entry %q was never let send to the cold backend server", asking)
		}
	}
}

// tell sends the report of one entry to another, if there is one.
func tell(from, to *balance.Loads, toName string, now time.Time) {
	if report, ok := from.Report(toName, now); ok {
		from.Acknowledge(toName, report, to.Accept(report, now), now)
	}
}
