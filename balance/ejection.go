package balance

import (
	"net/netip"
	"sync"
	"time"
)

// The times of ejections: the first lasts minEjection, and each further one in
// a row twice as long, up to maxEjection.
const (
	minEjection = 200 * time.Millisecond
	maxEjection = 5 * time.Second
)

// Ejector keeps backend servers whose exchanges fail out of the choice for a
// while. After an ejection one failed exchange is enough for the next.
type Ejector struct {
	servers sync.Map // netip.AddrPort to ejection
}

// ejection is the record of one failing backend server.
type ejection struct {
	until time.Time
	last  time.Duration
}

// Failed notes a failed exchange with the backend server.
func (e *Ejector) Failed(address netip.AddrPort, now time.Time) {
	next := ejection{last: minEjection}
	if old, ok := e.servers.Load(address); ok {
		held := old.(ejection)
		if now.Before(held.until) {
			return
		}
		next.last = min(2*held.last, maxEjection)
	}
	next.until = now.Add(next.last)
	e.servers.Store(address, next)
}

// Succeeded notes an answer of the backend server.
func (e *Ejector) Succeeded(address netip.AddrPort) {
	if _, ok := e.servers.Load(address); ok {
		e.servers.Delete(address)
	}
}

// Ejected reports whether the backend server is kept out of the choice.
func (e *Ejector) Ejected(address netip.AddrPort, now time.Time) bool {
	held, ok := e.servers.Load(address)
	return ok && now.Before(held.(ejection).until)
}
