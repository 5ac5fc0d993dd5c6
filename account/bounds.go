package account

import (
	"math"
	"time"
)

// The parts of what an account's requests may exceed its limit by. They sum to 1, so that an account stays
// within its bound in every window with one change of the broker.
const (
	// sharedPart is for entries without a broker.
	sharedPart = 0.8
	// handoverPart is what a new broker begins with, since its predecessor may have let everything through
	// that the limit allows.
	handoverPart = 0.1
	// tolerancePart is added to the burst at the broker: requests that callers send within the limit arrive in
	// another rhythm, and tokens that are returned were missing for a moment.
	tolerancePart = 0.1
)

// Bounds say by how much the requests of an account may exceed its limit.
type Bounds struct {
	// Window is the span over which requests are counted.
	Window time.Duration
	// Overshoot is the part by which they may exceed the limit, and Slack a further number of requests.
	Overshoot float64
	Slack     int
}

// Allowed returns the most requests that may reach backend servers in a window.
func (b Bounds) Allowed(a *Account) float64 {
	return a.RatePerSecond*b.Window.Seconds() + a.Burst + b.excess(a)
}

// excess returns by how many requests the limit may be exceeded in a window.
func (b Bounds) excess(a *Account) float64 {
	return (a.RatePerSecond*b.Window.Seconds()+a.Burst)*b.Overshoot + float64(b.Slack)
}

// BrokerBurst returns the tokens that the meter of a broker holds at most, and InitialLevel those with which
// a new broker begins.
func (b Bounds) BrokerBurst(a *Account) float64 { return a.Burst + tolerancePart*b.excess(a) }

// InitialLevel returns the tokens with which the meter of a new broker begins.
func (b Bounds) InitialLevel(a *Account) float64 { return handoverPart * b.excess(a) }

// Shared returns the requests in a window that entries without a broker may let through, all together.
func (b Bounds) Shared(a *Account) int {
	return int(math.Floor(sharedPart * min(b.excess(a), math.MaxInt32)))
}
