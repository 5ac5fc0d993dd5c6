package gateway

import (
	"context"
	"time"
)

// The constants of long uploads.
const (
	// longUpload is the sending time from which a machine's pace may have changed
	// before a request's body has arrived: a third of the time between two draws.
	longUpload = 50 * time.Millisecond
	// steadyPace is the pace, in percent of the usual, up to which a machine runs
	// a request at its usual pace.
	steadyPace = 130
	// paceLook is the time between two looks at a slow machine's pace: a fifth of
	// the time between two draws.
	paceLook = 30 * time.Millisecond
	// paceLookLimit bounds one look, which may wait behind other bodies on the
	// host's link.
	paceLookLimit = 100 * time.Millisecond
	// paceWaitShare is the part of the latency objective that the end of an upload
	// may wait; after three draws of the pace, one in sixty machines is still slow.
	paceWaitShare = 0.3
)

// beforeEnd returns what the end of an upload waits for, or nil. The pace of a
// server's machine is drawn anew while a long body is on its way, and a request
// keeps the pace that it begins with: a fourth of them would run five times as
// long. The server begins once it has the end, so that is held back while the
// machine is slow.
func (g *Gateway) beforeEnd(ctx context.Context, k *call, t *try) func() {
	sending := time.Duration(g.sendMillis(len(k.body))) * time.Millisecond
	if sending < longUpload {
		return nil
	}
	begun := time.Now()
	return func() {
		sleep(ctx, sending-time.Since(begun))
		arrived := time.Now()
		defer func() { k.endHeld.Store(int64(time.Since(arrived))) }()
		wait := time.Duration(paceWaitShare * float64(k.route.LatencyObjective))
		for until := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(until); {
			if pace, err := g.checker.look(ctx, t.server); err == nil && pace <= steadyPace {
				return
			}
			sleep(ctx, paceLook)
		}
	}
}

// sleep sleeps until the time has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
