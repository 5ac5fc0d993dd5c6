package balance

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"tanagerbarrow/membership"
	"tanagerbarrow/state"
)

// newPickFixture returns loads and choices of the given numbers of servers and
// services in six zones of three regions, and the names of the services.
func newPickFixture(servers, services int) (*Loads, *Choices, []string) {
	now := time.Unix(1000, 0)
	l := NewLoads(Options{Self: "e", Live: func() []string { return []string{"e"} }}, now)
	view := &membership.View{Services: map[string][]membership.BackendServer{}}
	regions := map[string]string{}
	var names []string
	for z := range 6 {
		regions[fmt.Sprintf("z%d", z)] = fmt.Sprintf("r%d", z/2)
	}
	for i := range services {
		names = append(names, fmt.Sprintf("service-%d", i))
	}
	for i := range servers {
		name := names[i%services]
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
		view.Services[name] = append(view.Services[name], membership.BackendServer{
			Service: name, Address: address, AvailabilityZone: fmt.Sprintf("z%d", i/services%6),
			Slots: 2, Generation: 1, State: membership.Ready,
		})
	}
	at := Place{AvailabilityZone: "z0", Regions: regions, RoundTrips: DefaultRoundTrips()}
	return l, NewChoices(l, view, state.NewConfiguration(), at, now), names
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ servers, services int }{{10, 1}, {100, 5}, {1000, 52}, {6200, 320}, {10000, 516}, {10000, 1}} {
		b.Run(fmt.Sprintf("servers=%d/services=%d", size.servers, size.services), func(b *testing.B) {
			l, c, names := newPickFixture(size.servers, size.services)
			now := time.Now().UnixNano()
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					random := rand.Uint64()
					s, _ := c.Pick(names[random>>8%uint64(len(names))], Query{Now: now, Random: random})
					if s == nil {
						continue
					}
					if started, ok := l.Start(s); ok {
						l.Finish(started, Result{Latency: 10 * time.Millisecond}, time.Time{})
					}
				}
			})
		})
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	l, c, names := newPickFixture(6200, 320)
	allocated := testing.AllocsPerRun(1000, func() {
		s, _ := c.Pick(names[7], Query{Random: 12345})
		started, ok := l.Start(s)
		if ok {
			l.Finish(started, Result{Latency: time.Millisecond}, time.Time{})
		}
	})
	if allocated != 0 {
		t.Fatalf("a pick allocates %v times", allocated)
	}
}
