package coordinator

import (
	"testing"
	"time"

	"tanagerbarrow/broker"
	"tanagerbarrow/registry"
)

// TestEntryViewLimitsRemoteServers sends an entry 30 servers of one service in
// three regions: it must get those of its region and a few others, then changes
// of these alone, and a replacement for a remote server that is gone.
func TestEntryViewLimitsRemoteServers(t *testing.T) {
	var servers []*broker.Server
	for n := range 30 {
		servers = append(servers, &broker.Server{
			Number: uint32(n + 1), Region: []string{"west", "east", "north"}[n%3],
			Record: registry.Record{BackendServer: registry.BackendServer{Service: "s"}},
		})
	}
	now := time.Now()
	s := newEntryView("west")
	if view := s.update(servers, nil, now); len(view.Servers) != 10+maxRemoteServers {
		t.Fatalf("sent %d servers, want the 10 of the region and %d others", len(view.Servers), maxRemoteServers)
	}
	known, unknown := servers[1], servers[28]
	if view := s.update([]*broker.Server{known, unknown}, nil, now); len(view.Servers) != 1 || view.Servers[0].Number != known.Number {
		t.Errorf("sent %+v, want the known server alone", view.Servers)
	}
	if view := s.update(nil, []uint32{known.Number, unknown.Number}, now); len(view.Removed) != 1 {
		t.Errorf("reported %v as gone, want the one known server", view.Removed)
	}
	if view := s.update([]*broker.Server{unknown}, nil, now); len(view.Servers) != 1 {
		t.Error("a remote server that is gone was not replaced")
	}
}
