package broker

import "time"

// Ask is an entry's request for a grant.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Seq identifies the ask among those of its entry.
	Seq uint64
	// Service is the service that is to run the request.
	Service string
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// ObjectiveMillis is the time that is left to meet the latency objective, in
	// milliseconds; it may be negative.
	ObjectiveMillis int
	// DeadlineMillis is the time until the caller stops waiting, in
	// milliseconds.
	DeadlineMillis int
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// SendMillis is how long the entry's link takes to send the body, in
	// milliseconds.
	SendMillis int
	// Retry says that the request was sent to a backend server before.
	Retry bool
	// ExcludedServers are the numbers of the servers that have already received
	// the request.
	ExcludedServers []uint32
	// HomeRegions are the only regions that may run the request; empty means any.
	HomeRegions []string
	// Fingerprint is the same for equal requests of any caller; 0 if there is
	// none.
	Fingerprint uint64
}

// Details are what a deployment with client accounts or a roll-out tells the broker about a
// request beyond its [Ask].
type Details struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Route is the name of the request's route.
	Route string
	// ClientAccount is the name of the caller's client account; empty if there is none.
	ClientAccount string
}

// DetailedAsk is an [Ask] with its [Details].
type DetailedAsk struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Ask     Ask
	Details Details
}

// Grant is the reply to an [Ask] that allows the entry to send the request to
// the server now.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Seq is the sequence number of the ask.
	Seq uint64
	// ID identifies the grant.
	ID uint64
	// Server is the number of the backend server.
	Server uint32
	// Relay is the address of the entry that must relay the request; empty if the entry
	// sends it itself.
	Relay string
}

// Refusal is the reply to an [Ask] that can't be served.
type Refusal struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Seq is the sequence number of the ask.
	Seq uint64
	// RetryMillis is the time until a slot is expected to be free, in
	// milliseconds.
	RetryMillis int
	// Reason is the reason of the refusal.
	Reason Reason
	// Waiting is the length of the queue at the time of the refusal, Busy the
	// number of slots in use, and Slots the number of usable slots.
	Waiting, Busy, Slots int
}

// Reason says why an ask was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonOverload means that the wait for a slot would be too long.
	ReasonOverload Reason = "overload"
	// ReasonNoServer means that the service has no usable backend server.
	ReasonNoServer Reason = "no_backend_server"
	// ReasonRetryBudget means that the service's retries are used up.
	ReasonRetryBudget Reason = "retry_budget"
	// ReasonPoison means that equal requests have crashed backend servers.
	ReasonPoison Reason = "crashes_servers"
	// ReasonDisplaced means that an ask of higher rank has come, and that the wait for a slot would
	// be too long behind it.
	ReasonDisplaced Reason = "displaced"
	// ReasonEarlyReturn means that a request was refused before and has come back earlier than its
	// caller was given.
	ReasonEarlyReturn Reason = "early_return"
	// ReasonQueueTimeout means that no slot became free in time.
	ReasonQueueTimeout Reason = "waited"
	// ReasonNoRelay means that the entry reaches no backend server, and that no other
	// entry may relay the request.
	ReasonNoRelay Reason = "no_relay"
	// ReasonBackoff means that all servers that may run the request want none of this entry
	// for longer than the request may wait.
	ReasonBackoff Reason = "backoff"
	// ReasonAccountLimit means that the client account has used up its request limit.
	ReasonAccountLimit Reason = "account_limit"
)

// Outcome says how a granted request ended.
type Outcome uint8

// Outcomes of granted requests.
const (
	// Answered means a complete response that shows no failure of the server.
	Answered Outcome = iota
	// Failed means a response with a server error, or an incomplete one.
	Failed
	// Refused means that the server proved that it didn't run the request.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// ConnectionLost means that the connection ended while the request may have run.
	ConnectionLost
	// Abandoned means that the caller disconnected or its deadline passed.
	Abandoned
	// WrongServer means that another server responds at the address.
	WrongServer
	// Unused means that the grant was not used.
	Unused
	// PathLost means that the entry lost its path to all servers, so that the failure
	// says nothing about this one.
	PathLost
	// RelayFailed means that the entry that was to relay the request failed or refused.
	RelayFailed
)

// Release ends a grant.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ID is the identifier of the grant.
	ID uint64
	// Outcome says how the request ended.
	Outcome Outcome
	// ElapsedMillis is how long the server took, in milliseconds.
	ElapsedMillis int
	// KeepAliveMillis is how long the idle connection stays usable, in
	// milliseconds; 0 if it was closed.
	KeepAliveMillis int
	// Pace is the time that work takes on the server now, in percent of the usual;
	// 0 if the server didn't report it.
	Pace int
	// ResponseBytes is the size of the response's body.
	ResponseBytes int
	// Limit is what the response said about the server's request limit; nil if it
	// named none and the entry knows of none.
	Limit *LimitReport
}

// Cancel withdraws an ask, or the grant that was the reply to it.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Seq is the sequence number of the ask.
	Seq uint64
}

// Sample is the result of one health check of a backend server.
type Sample struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Server is the server's number.
	Server uint32
	// Healthy says that the server reported itself healthy.
	Healthy bool
	// WrongServer says that another server responds at the address.
	WrongServer bool
	// Pace is the time that work takes on the server now, in percent of the usual;
	// 0 if the server didn't report it.
	Pace int
	// ColdMillis is how much longer the server stays cold, in milliseconds;
	// negative if the server didn't report it.
	ColdMillis int
	// Running counts the requests that run or wait on the server; negative if the
	// server didn't report it.
	Running int
	// PaceValidMillis is how long the pace stays valid, in milliseconds; 0 if that
	// is not known.
	PaceValidMillis int
	// Limit is what the response said about the server's request limit; nil if it
	// named none and the entry knows of none.
	Limit *LimitReport
	// Responded says that the server responded at all.
	Responded bool
}

// HeldGrant is a grant that an entry holds from another broker.
type HeldGrant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ServerID is the identifier of the backend server.
	ServerID string
	// ID is the identifier of the grant, which the entry continues to use.
	ID uint64
}

// Output is the reply to an entry's ask; either Grant or Refusal is set.
type Output struct {
	// Entry is the name of the receiver.
	Entry string
	// Grant and Refusal are the reply; the other one is nil.
	Grant   *Grant
	Refusal *Refusal
	// Server is the granted server; nil with a refusal.
	Server *Server
	// Relay is the name of the entry that relays the request; empty if there is none.
	Relay string
	// AheadBy is the rule by which the granted ask went before another one; empty for none.
	AheadBy OrderRule
}

// millis converts a number of milliseconds to a duration.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
