package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// The constants of long uploads. The pace of a machine is the time that work takes
// on it, in percent of the usual; the machine draws it anew at fixed intervals.
const (
	// minLongUpload is the sending time from which a machine's pace may have
	// changed before a request's body has arrived: a third of the interval between
	// two draws.
	minLongUpload = 50 * time.Millisecond
	// maxSteadyPace is the pace, in percent of the usual, up to which a machine is
	// not considered slow.
	maxSteadyPace = 130
	// paceCheckInterval is the time between two checks of a slow machine's pace: a
	// fifth of the interval between two draws.
	paceCheckInterval = 30 * time.Millisecond
	// paceCheckTimeout bounds one check, which may queue behind other bodies on
	// the host's link.
	paceCheckTimeout = 100 * time.Millisecond
	// paceWaitShare is the fraction of the latency objective for which the end of
	// an upload may be held back; after three draws of the pace, one in sixty
	// machines is still slow.
	paceWaitShare = 0.3
)

// beforeEnd returns the function that delays the end of a long upload while the
// server's machine is slow, or nil for a short upload and for a server that names a request limit. The machine draws its pace
// anew while a long body is being sent, and a request keeps the pace that it starts
// with: a fourth of the requests would run five times as long. The server starts a
// request once it has received the end of the body, so the end is held back.
func (g *Gateway) beforeEnd(ctx context.Context, k *callerRequest, a *attempt) func() {
	sendTime := time.Duration(g.sendMillis(k.body.Len())) * time.Millisecond
	if sendTime < minLongUpload || g.view.limitOf(a.server).Limited() {
		return nil
	}
	started := time.Now()
	return func() {
		sleep(ctx, sendTime-time.Since(started))
		bodyArrived := time.Now()
		defer func() { k.endHeldNanos.Store(int64(time.Since(bodyArrived))) }()
		maxWait := time.Duration(paceWaitShare * float64(k.route.LatencyObjective))
		for waitEnd := time.Now().Add(maxWait); ctx.Err() == nil && time.Now().Before(waitEnd); {
			pace, err := g.checker.readPace(ctx, a.server)
			if err == nil && pace <= maxSteadyPace || errors.Is(err, errCheckBackoff) {
				return
			}
			sleep(ctx, paceCheckInterval)
		}
	}
}

// sleep waits for d or until ctx ends, whichever is earlier.
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
