package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// An entry that restarts must have the records of the other entries before it
// reports that it has joined, also while some of them are unreachable.
func TestJoinedEntryKnowsTheBackendServers(t *testing.T) {
	for restart := range 6 {
		synctest.Test(t, func(t *testing.T) {
			f := newNetwork(t, 6)
			defer f.stop()
			for _, n := range f.nodes {
				<-n.Joined()
			}
			if _, err := f.nodes["e0"].Announce(context.Background(), record(1, 1, Ready)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			f.kill("e5")
			f.start(6, 5, 2)
			if restart > 0 {
				f.kill("e4")
			}
			again := f.nodes["e5"]
			<-again.Joined()
			if len(again.Table().View().Services["s"]) != 1 {
				t.Fatal("the entry joined without the backend server")
			}
		})
	}
}
