package broker

import (
	"cmp"
	"slices"
	"time"

	"tanagerbarrow/declare"
	"tanagerbarrow/rollout"
)

// peakLoadDecay is the part of the peak load that is left after one check, so that it falls by
// half in three seconds.
const peakLoadDecay = 0.977

// DueRolloutMoves returns the moves of roll-outs that are due, with the figures that decided
// them. A move is returned until SetRollouts shows that it was made.
func (b *Broker) DueRolloutMoves(now time.Time) []declare.RolloutMove {
	var moves []declare.RolloutMove
	for _, r := range b.rollouts {
		if r.Stage.Ended() {
			continue
		}
		if stage, reason := r.decision.Next(b.conditions(r, now), now); stage != "" {
			moves = append(moves, declare.RolloutMove{
				Service: r.Service, Position: r.Position, Stage: stage, Reason: reason + "; " + r.decision.Figures(),
			})
		}
	}
	slices.SortFunc(moves, func(x, y declare.RolloutMove) int { return cmp.Compare(x.Position, y.Position) })
	return moves
}

// conditions returns what the next stage of a roll-out depends on besides the evidence.
func (b *Broker) conditions(r *serviceRollout, now time.Time) rollout.Conditions {
	p := b.pool(r.Service)
	c := rollout.Conditions{
		Stage: r.Stage, NewServers: b.newServers(r, now), PeakLoad: r.peakLoad, ServiceTime: p.serviceTime, SwitchedAt: r.switchedAt,
	}
	if r.Stage == declare.RolloutSwitching {
		c.LeftOnOld = b.requestsOnOldServers(r, now)
	}
	for _, s := range p.servers {
		if r.isNew(s) && s.usable(now) && !b.zonesOut[s.Record.AvailabilityZone] && !s.cold(now) {
			c.NewSlots += s.Record.Slots
		}
	}
	return c
}

// requestsOnOldServers returns the number of requests that may still run on old servers.
func (b *Broker) requestsOnOldServers(r *serviceRollout, now time.Time) int {
	n := 0
	for _, s := range b.pool(r.Service).servers {
		if !r.isNew(s) && s.usable(now) {
			n += s.occupiedSlots(now) - s.activeGrants
		}
	}
	for _, g := range b.grants {
		if g.server.Record.Service == r.Service && !r.isNew(g.server) {
			n++
		}
	}
	return n
}

// RolloutFigures returns, for operators, what a service's roll-out in progress waits for and the
// figures so far; empty if there is none.
func (b *Broker) RolloutFigures(service string, now time.Time) string {
	r := b.rollouts[service]
	if r == nil || r.Stage.Ended() {
		return ""
	}
	_, reason := r.decision.Next(b.conditions(r, now), now)
	return reason + "; " + r.decision.Figures()
}
