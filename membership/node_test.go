package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestAnnouncementsReachEveryEntryFromOneOwner(t *testing.T) {
	runWithNetwork(t, 8, func(t *testing.T, f *fakeNetwork) {
		a := f.announce(9000, "b", "e0", "e2", "e5")
		defer a.stop()
		time.Sleep(5 * time.Second)
		f.wantSeen("steady", 1)
		owners := 0
		for name, n := range f.nodes {
			owned := len(n.Table().Owned())
			owners += owned
			if owned > 0 && name != "e1" && name != "e5" {
				t.Errorf("%s outside the availability zone owns the lease", name)
			}
		}
		if owners != 1 {
			t.Errorf("%d entries own the lease of one backend server", owners)
		}
	})
}

func TestLeaverIsGoneEverywhereAtOnce(t *testing.T) {
	runWithNetwork(t, 8, func(t *testing.T, f *fakeNetwork) {
		a := f.announce(9000, "b", "e0")
		time.Sleep(2 * time.Second)
		a.stop()
		synctest.Wait()
		left := a.b
		left.State = Leaving
		left.Sequence += 2
		if _, err := f.nodes["e3"].Announce(context.Background(), left); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		f.wantSeen("after leaving", 0)
		time.Sleep(10 * time.Second)
		f.wantSeen("later", 0)
	})
}

// Network faults of an entry host, and what each side sees during and after
// them. A host that receives messages but whose own messages are lost counts as
// cut off on both sides.
func TestFaultsOfHosts(t *testing.T) {
	rest := []string{"e0", "e1", "e2", "e3", "e4", "e6", "e7"}
	for name, c := range map[string]struct {
		fault, repair func(f *fakeNetwork)
		// liveOnE5 and liveOnOthers are the numbers of live hosts on e5 and on
		// the other hosts.
		liveOnE5, liveOnOthers int
		// seenOnE5 is the number of backend servers that e5 sees; the other
		// hosts always see the backend server.
		seenOnE5 int
	}{
		"cut from one host": {
			fault:    func(f *fakeNetwork) { f.isolate([]string{"e5"}, []string{"e1"}, true) },
			repair:   func(f *fakeNetwork) { f.isolate([]string{"e5"}, []string{"e1"}, false) },
			liveOnE5: 8, liveOnOthers: 8, seenOnE5: 1,
		},
		"one-way cut from one host": {
			fault:    func(f *fakeNetwork) { f.setCut("e5", "e1", true) },
			repair:   func(f *fakeNetwork) { f.setCut("e5", "e1", false) },
			liveOnE5: 8, liveOnOthers: 8, seenOnE5: 1,
		},
		"long silent partition": {
			fault:    func(f *fakeNetwork) { f.isolate([]string{"e5"}, rest, true) },
			repair:   func(f *fakeNetwork) { f.isolate([]string{"e5"}, rest, false) },
			liveOnE5: 1, liveOnOthers: 7, seenOnE5: 0,
		},
		"silent for all it sends": {
			fault: func(f *fakeNetwork) {
				for _, r := range rest {
					f.setCut("e5", r, true)
				}
			},
			repair:   func(f *fakeNetwork) { f.isolate([]string{"e5"}, rest, false) },
			liveOnE5: 1, liveOnOthers: 7, seenOnE5: 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithNetwork(t, 8, func(t *testing.T, f *fakeNetwork) {
				a := f.announce(9000, "b", rest...)
				defer a.stop()
				time.Sleep(5 * time.Second)
				c.fault(f)
				for range 60 {
					time.Sleep(time.Second)
					for _, r := range rest {
						if f.seen(r) != 1 {
							t.Fatalf("%s lost a live backend server", r)
						}
					}
				}
				f.wantLive("e5", c.liveOnE5)
				f.wantLive("e1", c.liveOnOthers)
				if got := f.seen("e5"); got != c.seenOnE5 {
					t.Errorf("e5 sees %d backend servers, want %d", got, c.seenOnE5)
				}
				c.repair(f)
				time.Sleep(30 * time.Second)
				for n := range f.nodes {
					f.wantLive(n, 8)
				}
				f.wantSeen("after the fault", 1)
			})
		})
	}
}

func TestKilledOwnerLosesNoServerAndReturns(t *testing.T) {
	runWithNetwork(t, 8, func(t *testing.T, f *fakeNetwork) {
		a := f.announce(9000, "b", "e0", "e2")
		defer a.stop()
		time.Sleep(5 * time.Second)
		owner, index := "e1", 1
		if len(f.nodes["e5"].Table().Owned()) == 1 {
			owner, index = "e5", 5
		}
		f.kill(owner)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			f.wantSeen("while the owner is dead", 1)
		}
		f.wantLive("e0", 7)
		f.start(8, index, 2)
		time.Sleep(20 * time.Second)
		f.wantSeen("after its return", 1)
		f.wantLive("e0", 8)
		if len(f.nodes[owner].Table().Owned()) != 1 {
			t.Error("the owner did not get the lease back")
		}
	})
}

func TestStoppedEntryHandsItsLeasesOver(t *testing.T) {
	runWithNetwork(t, 8, func(t *testing.T, f *fakeNetwork) {
		a := f.announce(9000, "b", "e0")
		// The announcer stops after one announcement, so that the others know its
		// newest sequence.
		time.Sleep(500 * time.Millisecond)
		a.stop()
		owner := "e1"
		if len(f.nodes["e5"].Table().Owned()) == 1 {
			owner = "e5"
		}
		if err := f.nodes[owner].HandOver(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.kill(owner)
		time.Sleep(time.Second)
		f.wantSeen("after the stop", 1)
		f.wantLive("e0", 7)
		other := map[string]string{"e1": "e5", "e5": "e1"}[owner]
		if len(f.nodes[other].Table().Owned()) != 1 {
			t.Errorf("%s did not take the lease over", other)
		}
		time.Sleep(10 * time.Second)
		f.wantSeen("after the lease", 0)
	})
}

// Two regions lose contact for an hour. Each side keeps its own backend
// servers, and a backend server that left during the cut does not return after
// it.
func TestRegionCut(t *testing.T) {
	north, south := []string{"e0", "e1", "e4", "e5"}, []string{"e2", "e3", "e6", "e7"}
	runWithNetwork(t, 8, func(t *testing.T, f *fakeNetwork) {
		a, b := f.announce(9000, "a", north...), f.announce(9001, "c", south...)
		defer a.stop()
		time.Sleep(5 * time.Second)
		f.wantSeen("before", 2)
		f.isolate(north, south, true)
		time.Sleep(time.Minute)
		f.wantSeen("during the cut", 1)
		f.wantLive("e0", 4)
		f.wantLive("e2", 4)
		b.stop()
		synctest.Wait()
		left := b.b
		left.State = Leaving
		if _, err := f.nodes["e2"].Announce(context.Background(), left); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		f.isolate(north, south, false)
		for range 60 {
			time.Sleep(time.Second)
			if f.seen("e0") > 1 || f.seen("e2") > 1 {
				t.Fatal("the backend server that left returned")
			}
		}
		f.wantSeen("after", 1)
		f.wantLive("e0", 8)
	})
}
