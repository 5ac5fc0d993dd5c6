package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bodybuf"
	"tanagerbarrow/serving"
	"tanagerbarrow/verdict"
)

// The shares of connections that others open to an entry.
const (
	// inboundDescriptorShare is the part of the descriptors for them; the rest is for
	// connections to backend servers and control hosts.
	inboundDescriptorShare = 0.6
	// connectionMemoryDivisor sets the part of the host's memory for them, one divided by it,
	// and connectionMemory is what each of them needs, in bytes.
	connectionMemoryDivisor = 8
	connectionMemory        = 28 << 10
	// relayConnectionDivisor sets the part of them that other entries may open, one divided
	// by it.
	relayConnectionDivisor = 4
	// maxProbeConnections bounds the connections of readiness probes.
	maxProbeConnections = 32
	// minCallerConnections is left to callers on a host of any size.
	minCallerConnections = 64
)

// connectionShares are the numbers of connections that a host takes from others.
type connectionShares struct{ callers, relays, probes int }

// shareConnections divides the connections of a host. memory is its memory in bytes, and
// descriptors their number; 0 means that it is not known.
func shareConnections(memory int64, descriptors int) connectionShares {
	total := maxCallerConnections + maxRelayConnections + maxProbeConnections
	if memory > 0 {
		total = min(total, int(memory/connectionMemoryDivisor/connectionMemory))
	}
	if descriptors > 0 {
		total = min(total, int(inboundDescriptorShare*float64(descriptors)))
	}
	relays := min(maxRelayConnections, total/relayConnectionDivisor)
	return connectionShares{
		callers: min(maxCallerConnections, max(minCallerConnections, total-relays-maxProbeConnections)),
		relays:  max(1, relays), probes: maxProbeConnections,
	}
}

// guards bound what callers, other entries and readiness probes make an entry hold.
type guards struct{ callers, relays, probes *serving.Guard }

// newGuards returns the guards of an entry, which release held bodies when the budget is
// exhausted.
func (g *Gateway) newGuards() guards {
	s := g.options.Settings
	shares := shareConnections(s.MemoryBytes, s.MaxDescriptors)
	newGuard := func(name string, connections int) *serving.Guard {
		return serving.NewGuard(serving.GuardOptions{
			Name: name, MaxConnections: connections, Memory: g.heldBodies, Log: g.log, Metrics: g.options.Metrics,
			MaxHeadBytes: func() int64 { return g.view.limits().MaxHeaderBytes },
			PaceAhead:    func(ctx context.Context, bytes int) { g.pacer.awaitIncoming(ctx, bytes) },
		})
	}
	all := guards{newGuard("callers", shares.callers), newGuard("relays", shares.relays), newGuard("readiness", shares.probes)}
	g.heldBodies.Reclaim = func(bytes int64) bool {
		return all.callers.Reclaim(bytes) || all.relays.Reclaim(bytes) || all.probes.Reclaim(bytes)
	}
	g.options.Metrics.NewGauge("tanagerbarrow_held_memory_bytes", func() float64 {
		return float64(g.heldBodies.Total() - g.heldBodies.Free())
	})
	return all
}

// readBody reads the body before the broker is asked for a server, so that a slow
// upload occupies no slot. A body over its limit, or over the whole budget, is
// refused permanently; one for which the budget is exhausted may be retried, and so may
// one that hasn't arrived by the request's deadline.
func (k *callerRequest) readBody(ctx context.Context, budget *bodybuf.Budget, limit int64, pacer *linkPacer) error {
	r := k.request
	if r.ContentLength != 0 {
		serving.LimitBody(r.Context(), k.deadline)
	}
	if err := context.Cause(ctx); errors.Is(err, errStopping) {
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, codeStopping, "read the request body")
	}
	if r.ContentLength == 0 {
		return nil
	}
	limits := requestBodyLimits(budget, limit)
	body, err := budget.Read(pacer.incoming(ctx, k.progress.read(r.Body), r.ContentLength), r.ContentLength, limits)
	if err == nil {
		serving.BodyRead(r.Context())
		serving.Holds(r.Context(), body.Len())
		k.body = body
		k.held = append(k.held, body)
		return nil
	}
	return bodyError(err, limits)
}

// bodyError returns the error of a request whose body could not be read.
func bodyError(err error, limits bodybuf.Limits) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, bodybuf.ErrTooLarge):
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large",
			"the body has more than %d bytes", limits.MaxBytes)
	case errors.Is(err, bodybuf.ErrNoMemory):
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "body_memory",
			"the memory for request bodies is exhausted")
	case errors.As(err, &timeout) && timeout.Timeout():
		return verdict.Wrap(err, verdict.NotRun, http.StatusRequestTimeout, "body_late", "read the request body")
	default:
		return verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "body_cut", "read the request body")
	}
}

// maxLoggedText bounds a text of a caller in a log line, in bytes.
const maxLoggedText = 128

// logText returns the beginning of a text of a caller.
func logText(text string) string { return text[:min(len(text), maxLoggedText)] }
