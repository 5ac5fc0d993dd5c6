package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"tanagerbarrow/serving"
)

// The readiness probes of [Balancer].
const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Entry describes one entry for a [Balancer].
type Entry struct {
	// Name is the host name of the entry.
	Name string
	// Caller is the address that accepts requests of callers.
	Caller string
	// Admin is the address that serves the readiness check.
	Admin string
}

// Balancer is a stand-in for the platform's load balancer: it probes the
// readiness of every entry and selects ready ones in turn.
type Balancer struct {
	entries []Entry
	ready   []atomic.Bool
	next    atomic.Uint64
	http    http.Client
}

// NewBalancer returns a balancer that initially regards every entry as ready.
func NewBalancer(entries []Entry) *Balancer {
	f := &Balancer{entries: entries, ready: make([]atomic.Bool, len(entries))}
	f.http.Timeout = probeTimeout
	for i := range f.ready {
		f.ready[i].Store(true)
	}
	return f
}

// Run probes every entry until ctx ends.
func (f *Balancer) Run(ctx context.Context) {
	for i := range f.entries {
		go f.probe(ctx, i)
	}
	<-ctx.Done()
}

// probe probes one entry periodically until ctx ends.
func (f *Balancer) probe(ctx context.Context, i int) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			res, err := f.http.Get("http://" + f.entries[i].Admin + serving.ReadyPath)
			f.ready[i].Store(err == nil && res.StatusCode == http.StatusOK)
			if err == nil {
				_ = res.Body.Close()
			}
		}
	}
}

// Pick returns the next ready entry, or the next one if none is ready.
func (f *Balancer) Pick() Entry {
	start := int(f.next.Add(1))
	for i := range f.entries {
		at := (start + i) % len(f.entries)
		if f.ready[at].Load() {
			return f.entries[at]
		}
	}
	return f.entries[start%len(f.entries)]
}
