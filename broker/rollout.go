package broker

import (
	"time"

	"tanagerbarrow/declare"
)

// Rollout is a roll-out of the replicated state as this broker sees it.
type Rollout struct {
	declare.Rollout
	// Began is when the order was accepted and Due when the operator wants it done, by this
	// host's clock.
	Began, Due time.Time
	// AcceptedHere says that this broker led when the order was accepted, so that it knows of all
	// requests since.
	AcceptedHere bool
}

// Result is how a request of a service with a roll-out ended on a backend server.
type Result struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Server is the number of the backend server.
	Server uint32
	// Route is the name of the request's route.
	Route string
	// Outcome says how the request ended.
	Outcome Outcome
	// Status is the status of the response; 0 if there was none.
	Status int
	// ElapsedMillis is how long the server took, in milliseconds.
	ElapsedMillis int
	// Pace is the time that work takes on the server, in percent of the usual; 0 if the server
	// didn't report it.
	Pace int
	// Cold says that the server was cold when the request was sent.
	Cold bool
}

// SetRollouts applies the roll-outs of the replicated state: of each service the one in
// progress or else the last.
func (b *Broker) SetRollouts(rollouts []Rollout, now time.Time) {}

// RecordResult applies how a request of an entry ended.
func (b *Broker) RecordResult(entry string, r Result, now time.Time) {}

// GrantOnlyServers returns the numbers, in ascending order, of the servers that entries may use
// with a grant only: the new ones while it is unknown whether their version is good.
func (b *Broker) GrantOnlyServers() []uint32 { return nil }

// ExcludedServers returns the numbers, in ascending order, of the servers that get no requests
// because of their version.
func (b *Broker) ExcludedServers() []uint32 { return nil }

// DueRolloutMoves returns the moves of roll-outs that are due, with the figures that decided
// them. A move is returned until SetRollouts shows that it was made.
func (b *Broker) DueRolloutMoves(now time.Time) []declare.RolloutMove { return nil }
