package balance

import (
	"net/netip"
	"testing"
	"time"

	"tanagerbarrow/membership"
)

// A loan to an entry that has left the live entries must expire after
// goneEntryLoanTimeout, not only after LoanTimeout, when its longest request would
// have ended.
func TestLoanOfAGoneEntryExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	live := []string{"e1", "e2"}
	l := NewLoads(Options{Self: "e1", Live: func() []string { return live }, LoanTimeout: time.Minute}, now)
	var server *Server
	for port := uint16(1); ; port++ {
		server = l.Server(membership.BackendServer{
			Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Slots: 2, Generation: 1, State: membership.Cold,
		}, false, now)
		if l.owner(server.Key(), now) == "e1" {
			break
		}
	}
	l.Tick(now)
	want := Report{From: "e2", Full: true, LoanRequests: []AdmissionState{{Key: server.Key(), Epoch: l.admissionRecordOf(server.Key()).epoch, Cold: true}}}
	if got := l.Accept(want, now); len(got.Loans) != 1 {
		t.Fatalf("lent %+v, want one loan", got.Loans)
	}
	live = []string{"e1"}
	for _, c := range []struct {
		after time.Duration
		room  bool
	}{{0, false}, {goneEntryLoanTimeout, false}, {goneEntryLoanTimeout + 1, true}} {
		l.Tick(now.Add(c.after))
		if got := server.coldRoom.Load() > 0; got != c.room {
			t.Fatalf("room %s after the borrower was gone: %t, want %t", c.after, got, c.room)
		}
	}
}

// The last reported counts of an entry must lose their weight also if the entry
// leaves the live entries before the counts are old.
func TestCountsOfAGoneEntryExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	live := []string{"e1", "e2"}
	l := NewLoads(Options{Self: "e1", Live: func() []string { return live }}, now)
	server := l.Server(membership.BackendServer{
		Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 2, Generation: 1, State: membership.Ready,
	}, false, now)
	l.Accept(Report{From: "e2", Full: true, Counts: []Count{{Key: server.Key(), InFlight: 1}}}, now)
	l.Tick(now)
	if server.TotalInFlight() != 1 {
		t.Fatalf("%d requests counted, want the one reported", server.TotalInFlight())
	}
	live = []string{"e1"}
	l.Tick(now.Add(staleAge + 1))
	if server.TotalInFlight() != 0 {
		t.Fatalf("%d requests of the gone entry still count", server.TotalInFlight())
	}
}
