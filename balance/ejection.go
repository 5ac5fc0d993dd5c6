package balance

import (
	"sync/atomic"
	"time"
)

// The durations of ejections: the first lasts minEjection, and each consecutive
// one twice as long as the last, up to maxEjection.
const (
	minEjection = 200 * time.Millisecond
	maxEjection = 5 * time.Second
)

// Ejection excludes a backend server whose exchanges fail from choices for a
// limited time. After an ejection, one failed exchange is enough for the next. It
// takes no lock.
type Ejection struct {
	ejectedUntil atomic.Int64
	lastDuration atomic.Int64
}

// Failed records a failed exchange with the backend server and ejects it, unless
// it is ejected already.
func (e *Ejection) Failed(now time.Time) {
	if e.Ejected(now.UnixNano()) {
		return
	}
	next := int64(minEjection)
	if last := e.lastDuration.Load(); last > 0 {
		next = min(2*last, int64(maxEjection))
	}
	e.lastDuration.Store(next)
	e.ejectedUntil.Store(now.UnixNano() + next)
}

// Succeeded records a response of the backend server: it ends an ejection and
// resets the duration of the next.
func (e *Ejection) Succeeded() {
	if e.lastDuration.Load() != 0 {
		e.lastDuration.Store(0)
		e.ejectedUntil.Store(0)
	}
}

// Ejected reports whether the backend server is excluded from choices. now is in
// nanoseconds of Unix time.
func (e *Ejection) Ejected(now int64) bool { return now < e.ejectedUntil.Load() }
