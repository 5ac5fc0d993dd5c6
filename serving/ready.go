package serving

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"
)

// ReadyPath is the path that answers 200 while the process accepts new
// connections, else 503.
const ReadyPath = "/ready"

// Readiness collects the reasons why a process is not ready.
type Readiness struct {
	mu      sync.Mutex
	reasons map[string]bool
}

// NewReadiness returns a Readiness that starts with the given reasons set.
func NewReadiness(reasons ...string) *Readiness {
	r := &Readiness{reasons: map[string]bool{}}
	for _, reason := range reasons {
		r.Set(reason, true)
	}
	return r
}

// Set sets or clears a reason for not being ready.
func (r *Readiness) Set(reason string, present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if present {
		r.reasons[reason] = true
		return
	}
	delete(r.reasons, reason)
}

// Ready reports whether no reason is set.
func (r *Readiness) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reasons) == 0
}

// Register adds the readiness route to e.
func (r *Readiness) Register(e *echo.Echo) {
	e.GET(ReadyPath, func(c echo.Context) error {
		if r.Ready() {
			return c.String(http.StatusOK, "ready\n")
		}
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	})
}
