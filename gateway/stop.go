package gateway

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"tanagerbarrow/protocol"
	"tanagerbarrow/serving"
)

// The phases of a stop, measured from its signal.
const (
	// rotationExitDelay is how long new connections may still arrive: the platform
	// removes a host after two readiness probes that are a second apart.
	rotationExitDelay = 2300 * time.Millisecond
	// refuseDelay is the time after which requests that still arrive on kept-alive
	// connections are refused at once: a request that starts later might not finish
	// within the grace period.
	refuseDelay = 2800 * time.Millisecond
	// drainMargin is the time between the close of the connections that are still idle and the last response. Until
	// then callers have had time to use each of them once.
	drainMargin = 300 * time.Millisecond
	// stopMargin is the time between the last response that is planned and the end of the grace period. Requests that
	// take longer than expected are given up giveUpMargin before that end, and responses that are still being
	// written are cut closeMargin before it.
	stopMargin   = 700 * time.Millisecond
	giveUpMargin = 450 * time.Millisecond
	closeMargin  = 300 * time.Millisecond
	// shutdownLimit bounds the close of connections that have nothing more to answer.
	shutdownLimit = 50 * time.Millisecond
)

// stop fails the readiness probe, lets callers close their connections, and
// answers the remaining requests within the grace period: those that can't be served in time are refused as soon
// as that is known, and each that is left at the end gets an error. No connection is closed without an answer.
func (g *Gateway) stop(callerServer, relayServer *serving.Server) error {
	g.session.changePath(func(p *protocol.Path) { p.Stopping = true })
	grace := g.options.Settings.Bounds.GracePeriod
	started := time.Now()
	g.readiness.Set(reasonStopping, true)
	g.log.Info().Str("event", "stopping").Dur("grace", grace).Send()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		if left := g.requests.stop(ctx, started.Add(grace-stopMargin), started.Add(grace-giveUpMargin)); left > 0 {
			g.log.Warn().Str("event", "requests_given_up").Int("requests", left).Send()
		}
	}()
	time.Sleep(min(rotationExitDelay, grace/2))
	callerServer.DisableKeepAlives(true)
	time.Sleep(max(0, min(refuseDelay, grace/2)-time.Since(started)))
	g.refuseRequests.Store(true)
	callerServer.Drain(grace - stopMargin - drainMargin - time.Since(started))
	var stopped errgroup.Group
	for _, server := range []*serving.Server{callerServer, relayServer} {
		if server != nil {
			stopped.Go(func() error {
				server.AwaitAnswers(grace - closeMargin - time.Since(started))
				return server.Shutdown(shutdownLimit)
			})
		}
	}
	return stopped.Wait()
}
