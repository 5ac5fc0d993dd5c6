package soak

import (
	"fmt"
	"sync"
	"time"
)

// The bound of a request limit: in limitWindow, one and a half times what it allows and
// limitSlack more, from limitGrace after it was first named.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	limitSlack  = 5
)

// requestLimit is the limit that a server names in its answers, with the arrivals under it.
type requestLimit struct {
	mu       sync.Mutex
	named    []namedLimit
	arrivals []time.Time
}

// namedLimit is a limit that a server names from a time on; a negative one means none.
type namedLimit struct {
	perSecond float64
	from      time.Time
}

// set makes the server name a limit from now on.
func (l *requestLimit) set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named = append(l.named, namedLimit{perSecond, time.Now()})
}

// arrive records a request and returns the value of the header that names the limit;
// empty if there is none.
func (l *requestLimit) arrive() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.named) == 0 || l.named[len(l.named)-1].perSecond < 0 {
		return ""
	}
	l.arrivals = append(l.arrivals, time.Now())
	return fmt.Sprint(l.named[len(l.named)-1].perSecond)
}

// highest returns the highest limit between two times; negative if there was a moment
// without one or it was named too late to hold.
func (l *requestLimit) highest(from, to time.Time) float64 {
	highest, since := 0.0, time.Time{}
	for n, named := range l.named {
		if named.from.After(to) {
			break
		}
		ended := n+1 < len(l.named) && l.named[n+1].from.Before(from)
		switch {
		case named.perSecond < 0 && ended:
			since = time.Time{}
			continue
		case named.perSecond < 0:
			return -1
		case since.IsZero():
			since = named.from
		}
		if !ended {
			highest = max(highest, named.perSecond)
		}
	}
	if since.IsZero() || from.Sub(since) < limitGrace {
		return -1
	}
	return highest
}

// check fails the run if the server got more than its limit allows.
func (l *requestLimit) check(h *harness, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, at := range l.arrivals {
		inWindow := 0
		for _, other := range l.arrivals[i:] {
			if other.Sub(at) <= limitWindow {
				inWindow++
			}
		}
		// A limit binds half a second after it was changed.
		limit := l.highest(at.Add(-500*time.Millisecond), at.Add(limitWindow))
		if bound := 1.5*limit*limitWindow.Seconds() + limitSlack; limit >= 0 && float64(inWindow) > bound {
			h.fail("LIMIT: %s got %d requests in %s from %s on, allowed are %v", id, inWindow, limitWindow, at.Format("05.000"), bound)
			return
		}
	}
}

// nameLimits makes the last server name request limits, lower and higher ones, and
// sometimes none.
func nameLimits(h *harness, servers []*server, end time.Time) {
	random := h.randomFor(5)
	limit := &servers[len(servers)-1].limit
	for time.Now().Before(end) {
		if random.IntN(5) == 0 {
			limit.set(-1)
		} else {
			limit.set(0.3 + 4*random.Float64())
		}
		time.Sleep(time.Duration(1000+random.IntN(6000)) * time.Millisecond)
	}
	limit.set(-1)
}
