package broker

import (
	"math"
	"slices"
	"time"
)

// The measurement of how fast a queue empties.
const (
	// drainHalfLife is the time in which a measurement loses half of its weight: the machines'
	// paces and the mix of requests change within seconds.
	drainHalfLife = time.Second
	// drainPrior is the weight of the assumption that slots are used as calculated, in requests.
	drainPrior = 10
	// drainCaution is by how much the calculated grants count more than the measured ones: half of all
	// delays are longer than expected, and an ask that waits in vain costs its caller the time.
	drainCaution = 1.25
	// minDrainFactor bounds the correction, so that a service whose slots were all held up for a
	// moment is not refused to everyone afterwards.
	minDrainFactor = 0.25
)

// drain compares how many asks a service grants while others wait with what its slots would grant
// if all were used all the time. They are not: machines below their usual pace are spared, and a
// slot is idle while a grant or a release is on its way. An estimate without that admits requests
// that then wait in vain.
type drain struct {
	// granted counts the grants while asks waited, and expected those that were calculated; both
	// fade.
	granted, expected float64
	// current counts the grants since the last update, and waiting says that asks waited then.
	current float64
	waiting bool
	at      time.Time
}

// update ends a span of measurement. waiting says that asks wait now, and perSecond is the
// number of requests that the slots can start a second.
func (d *drain) update(waiting bool, perSecond float64, now time.Time) {
	span := now.Sub(d.at).Seconds()
	fade := math.Exp2(-span / drainHalfLife.Seconds())
	d.granted, d.expected = d.granted*fade, d.expected*fade
	if d.waiting && waiting {
		d.granted += d.current
		d.expected += perSecond * span
	}
	d.current, d.waiting, d.at = 0, waiting, now
}

// factor returns the measured part of the calculated grants.
func (d *drain) factor() float64 {
	return min(max((d.granted+drainPrior)/(drainCaution*d.expected+drainPrior), minDrainFactor), 1)
}

// measureDrain compares the grants of a service since the last call with what its slots allow.
// Where servers name a request limit, the limit and not the slots says what is granted, and
// nothing is measured.
func (b *Broker) measureDrain(p *pool, now time.Time) {
	limited := slices.ContainsFunc(p.servers, func(s *Server) bool { return s.limit.Limited() })
	waiting, perSecond := len(p.queue) > 0 && !limited, 0.0
	if waiting {
		_, _, capacity := p.slotUsage(b, now)
		perSecond = capacity / p.serviceTime.Seconds()
	}
	p.drain.update(waiting, perSecond, now)
}
