package coordinator

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/fleet"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/registry"
)

// TestManySessionsShareOneDistribution connects hundreds of entries at once, as after
// a loss of power. Each of them must receive its health checks once: distributing them
// again with each session cost the broker most of its first second.
func TestManySessionsShareOneDistribution(t *testing.T) {
	const entries, servers = 200, 300
	settings := &fleet.Settings{Regions: map[string]string{"a": "west"}, Bounds: fleet.DefaultBounds(), HeartbeatInterval: time.Second}
	l := newLeader(&Coordinator{options: Options{Settings: settings}, log: zerolog.Nop()}, 1, 0, false)
	now := time.Now()
	for n := range servers {
		server := registry.BackendServer{ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprint("127.0.0.1:", n+1), AvailabilityZone: "a", Slots: 2}
		l.broker.Announce(registry.Record{BackendServer: server, LastHeartbeat: now}, now)
	}
	var assignments, checks atomic.Int32
	for n := range entries {
		near, far := net.Pipe()
		in := &inboundLink{conn: link.New(near), hello: protocol.Hello{Name: fmt.Sprint("e-", n), AvailabilityZone: "a"}}
		t.Cleanup(in.conn.Close)
		entry := link.New(far)
		go func() {
			_ = entry.Run(func(kind link.Kind, body []byte) {
				var m protocol.CheckAssignment
				if kind == protocol.KindCheckAssignment && link.Decode(body, &m) == nil {
					checks.Add(int32(len(m.Servers)))
					assignments.Add(1)
				}
			}, nil)
		}()
		l.subscribe(in, protocol.Subscribe{}, now)
	}
	l.tick(now.Add(sessionCheckDelay))
	if !waitFor(func() bool { return checks.Load() >= servers }) {
		t.Fatalf("%d of %d servers are checked", checks.Load(), servers)
	}
	if n := assignments.Load(); n > entries {
		t.Errorf("%d assignments were sent to %d entries", n, entries)
	}
}
