package coordinator

import (
	"testing"
	"time"

	"tanagerbarrow/broker"
	"tanagerbarrow/registry"
)

// TestEntriesKnowTheirRegion tells an entry of 30 servers of one service in three
// regions: it learns those of its region and a few others, hears of changes of
// these alone, and gets another one in place of a far one that is gone.
func TestEntriesKnowTheirRegion(t *testing.T) {
	var servers []*broker.Server
	for n := range 30 {
		servers = append(servers, &broker.Server{
			Number: uint32(n + 1), Region: []string{"west", "east", "north"}[n%3],
			Record: registry.Record{BackendServer: registry.BackendServer{Service: "s"}},
		})
	}
	now := time.Now()
	s := newSight("west")
	if view := s.pick(servers, nil, now); len(view.Servers) != 10+farServers {
		t.Fatalf("told of %d servers, want the 10 of the region and %d others", len(view.Servers), farServers)
	}
	known, unknown := servers[1], servers[28]
	if view := s.pick([]*broker.Server{known, unknown}, nil, now); len(view.Servers) != 1 || view.Servers[0].Number != known.Number {
		t.Errorf("told of %+v, want the known server alone", view.Servers)
	}
	if view := s.pick(nil, []uint32{known.Number, unknown.Number}, now); len(view.Removed) != 1 {
		t.Errorf("told that %v are gone, of which one was known", view.Removed)
	}
	if view := s.pick([]*broker.Server{unknown}, nil, now); len(view.Servers) != 1 {
		t.Error("the place of a far server that is gone stays empty")
	}
}
