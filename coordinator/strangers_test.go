package coordinator

import (
	"net"
	"testing"

	"tanagerbarrow/link"
)

// TestStrangersGiveWayToOneAnother takes in more connections without a hello than are allowed: the
// one that has waited longest is closed, and those that have introduced themselves stay.
func TestStrangersGiveWayToOneAnother(t *testing.T) {
	open := func() *link.Conn {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { _ = theirs.Close() })
		c := link.New(ours)
		t.Cleanup(c.Close)
		return c
	}
	s := strangers{}
	known := open()
	if s.add(known) != nil {
		t.Error("the first connection is closed")
	}
	s.introduced(known)
	first := open()
	s.add(first)
	for range maxStrangers - 1 {
		if s.add(open()) != nil {
			t.Fatal("a connection within the bound is closed")
		}
	}
	if got := s.add(open()); got != first {
		t.Error("another one than the first is closed")
	}
	full := strangers{maxLinks: 1}
	full.add(known)
	full.introduced(known)
	if c := open(); full.add(c) != c {
		t.Error("a connection beyond all links stays")
	}
	full.ended(known)
	if full.links != 1 || maxLinks(0, 0) != 0 || maxLinks(280<<20, 0) != 597 || maxLinks(280<<20, 100) != 40 {
		t.Errorf("%d links; bounds %d, %d, %d", full.links, maxLinks(0, 0), maxLinks(280<<20, 0), maxLinks(280<<20, 100))
	}
}
