package account

import (
	"math"
	"time"
)

// Meter keeps an account within its limit at one broker: a token bucket (Turner 1986; the single rate of
// RFC 2697). It is not safe for concurrent use.
type Meter struct {
	perSecond, burst float64
	level            float64
	filledAt         time.Time
}

// NewMeter returns a meter that gains perSecond tokens a second, holds at most burst, and holds level now.
func NewMeter(perSecond, burst, level float64, now time.Time) *Meter {
	return &Meter{perSecond: perSecond, burst: max(1, burst), level: min(level, max(1, burst)), filledAt: now}
}

// SetLimit changes the limit. Tokens that a lower limit doesn't hold are lost; a higher one gains its own.
func (m *Meter) SetLimit(perSecond, burst float64, now time.Time) {
	m.fill(now)
	m.perSecond, m.burst = perSecond, max(1, burst)
	m.level = min(m.level, m.burst)
}

// fill adds the tokens of the time since the last call.
func (m *Meter) fill(now time.Time) {
	if elapsed := now.Sub(m.filledAt); elapsed > 0 {
		m.level = min(m.burst, m.level+elapsed.Seconds()*m.perSecond)
		m.filledAt = now
	}
}

// Allows reports whether there is a token.
func (m *Meter) Allows(now time.Time) bool {
	m.fill(now)
	return m.level >= 1
}

// Take takes a token. It reports whether there was one.
func (m *Meter) Take(now time.Time) bool {
	if !m.Allows(now) {
		return false
	}
	m.level--
	return true
}

// Return gives back a token that was taken and not used.
func (m *Meter) Return(now time.Time) {
	m.fill(now)
	m.level = min(m.burst, m.level+1)
}

// maxWait bounds the time until a token, so that it can be calculated.
const maxWait = time.Hour

// Wait returns the time until there are tokens for one request and the given number of others before it.
func (m *Meter) Wait(before int, now time.Time) time.Duration {
	m.fill(now)
	missing := 1 + float64(before) - m.level
	if missing <= 0 {
		return 0
	}
	seconds := missing / m.perSecond
	if math.IsNaN(seconds) || seconds > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
