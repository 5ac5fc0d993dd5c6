package balance

import (
	"sync/atomic"
	"time"
)

// The times of ejections: the first lasts minEjection, and each further one in
// a row twice as long, up to maxEjection.
const (
	minEjection = 200 * time.Millisecond
	maxEjection = 5 * time.Second
)

// Ejection keeps a backend server whose exchanges fail out of the choice for a
// while. After an ejection one failed exchange is enough for the next. It takes
// no lock.
type Ejection struct {
	until atomic.Int64
	last  atomic.Int64
}

// Failed notes a failed exchange with the backend server.
func (e *Ejection) Failed(now time.Time) {
	if e.Ejected(now.UnixNano()) {
		return
	}
	next := int64(minEjection)
	if last := e.last.Load(); last > 0 {
		next = min(2*last, int64(maxEjection))
	}
	e.last.Store(next)
	e.until.Store(now.UnixNano() + next)
}

// Succeeded notes an answer of the backend server.
func (e *Ejection) Succeeded() {
	if e.last.Load() != 0 {
		e.last.Store(0)
		e.until.Store(0)
	}
}

// Ejected reports whether the backend server is kept out of the choice. now is
// in nanoseconds of Unix time.
func (e *Ejection) Ejected(now int64) bool { return now < e.until.Load() }
