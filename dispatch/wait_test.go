package dispatch

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerbarrow/balance"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/state"
	"tanagerbarrow/verdict"
)

// oneServer returns a balancer with one ready server of two slots.
func oneServer() *Balancer {
	view := &membership.View{Services: map[string][]membership.BackendServer{"s": {{
		Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9000"), AvailabilityZone: "a",
		Slots: 2, Generation: 1, State: membership.Ready,
	}}}}
	config := state.NewConfiguration()
	return &Balancer{
		Members:       func() *membership.View { return view },
		Configuration: func() *state.Configuration { return config },
		Place:         balance.Place{AvailabilityZone: "a", Regions: map[string]string{"a": "north"}, RoundTrips: balance.DefaultRoundTrips()},
		Loads: balance.NewLoads(balance.Options{
			Self: "e", Live: func() []string { return []string{"e"} },
		}, time.Now()),
	}
}

// read returns a read of the client account whose deadline is the given wait from now.
func read(account string, wait time.Duration) *request.Request {
	return &request.Request{
		Service: state.Service{Name: "s"}, ClientAccount: account, Class: request.Read, Deadline: time.Now().Add(wait),
	}
}

func TestWaitingNeverExceedsTheLimitOrLosesARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := oneServer()
		var running, most, served, late atomic.Int64
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7*5)*10*time.Millisecond)
				defer cancel()
				started, err := b.Reserve(ctx, read("account", time.Second), Exclusions{})
				if err != nil {
					if verdict.Of(err) != verdict.NotRun {
						t.Errorf("%v carries %s, want NotRun", err, verdict.Of(err))
					}
					late.Add(1)
					return
				}
				if n := running.Add(1); n > most.Load() {
					most.Store(n)
				}
				time.Sleep(10 * time.Millisecond)
				running.Add(-1)
				served.Add(1)
				b.Release(started, balance.Result{Latency: 10 * time.Millisecond})
			})
		}
		wg.Wait()
		if most.Load() != 6 {
			t.Errorf("%d requests ran at once, want the limit of 6", most.Load())
		}
		if served.Load() == 0 || late.Load() == 0 || served.Load()+late.Load() != 100 || b.Waiting() != 0 {
			t.Errorf("%d served, %d late, %d still wait", served.Load(), late.Load(), b.Waiting())
		}
	})
}

func TestFullQueueShedsTheAccountThatFillsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := oneServer()
		for range 6 {
			if _, err := b.Reserve(t.Context(), read("greedy", time.Hour), Exclusions{}); err != nil {
				t.Fatal(err)
			}
		}
		var shed atomic.Int64
		reserve := func(account string) {
			go func() {
				_, err := b.Reserve(t.Context(), read(account, time.Hour), Exclusions{})
				var e *verdict.Error
				if errors.As(err, &e) && e.Code == "overloaded" {
					if account != "greedy" || e.Verdict != verdict.NotRun {
						t.Errorf("account %s was shed with %s", account, e.Verdict)
					}
					shed.Add(1)
				}
			}()
			synctest.Wait()
		}
		for range queueCapacity {
			reserve("greedy")
		}
		for range 10 {
			reserve("modest")
		}
		if shed.Load() != 10 || b.Waiting() != queueCapacity {
			t.Errorf("%d requests were shed and %d wait, want 10 and %d", shed.Load(), b.Waiting(), queueCapacity)
		}
		time.Sleep(maxQueueWait + time.Second)
		b.WakeAll()
		synctest.Wait()
		if b.Waiting() != 0 {
			t.Errorf("%d requests wait past their deadline", b.Waiting())
		}
	})
}
