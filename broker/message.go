package broker

import "time"

// Ask asks for a grant.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Seq identifies the ask among those of its entry.
	Seq uint64
	// Service is the service that shall run the request.
	Service string
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// ObjectiveMillis is the time that is left to be within the latency
	// objective, in milliseconds; it may be negative.
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
	// ExcludedServers are the servers that have had the request.
	ExcludedServers []uint32
	// HomeRegions are the only regions that may run it; empty means any.
	HomeRegions []string
	// Fingerprint identifies equal requests of any caller.
	Fingerprint uint64
}

// Grant answers an [Ask]: the request may be sent to the server now.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Seq is that of the ask.
	Seq uint64
	// ID identifies the grant.
	ID uint64
	// Server is the number of the backend server.
	Server uint32
}

// Refusal answers an [Ask] that can't be served.
type Refusal struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Seq is that of the ask.
	Seq uint64
	// RetryMillis is when room is expected, in milliseconds from now.
	RetryMillis int
	// Reason says why.
	Reason Reason
	// Waiting and Busy are the length of the queue and the slots in use when it
	// was decided, and Slots those that could be used.
	Waiting, Busy, Slots int
}

// Reason says why an ask was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonOverload means that the wait for a slot would be too long.
	ReasonOverload Reason = "overload"
	// ReasonNoServer means that the service has no usable backend server.
	ReasonNoServer Reason = "no_backend_server"
	// ReasonRetryBudget means that the service's retries are used up.
	ReasonRetryBudget Reason = "retry_budget"
	// ReasonPoison means that equal requests have crashed backend servers.
	ReasonPoison Reason = "crashes_servers"
	// ReasonQueueTimeout means that no slot came free in time.
	ReasonQueueTimeout Reason = "waited"
)

// Outcome says how a granted request ended.
type Outcome uint8

// The outcomes of granted requests.
const (
	// Answered means a whole answer that is no failure of the server.
	Answered Outcome = iota
	// Failed means an answer with a server error, or a broken one.
	Failed
	// Refused means that the server proved that it didn't run the request.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// ConnectionLost means that the connection ended while the request may have run.
	ConnectionLost
	// Abandoned means that the caller left or its deadline passed.
	Abandoned
	// WrongServer means that another server answers at the address.
	WrongServer
	// Unused means that the grant was not used.
	Unused
)

// Release ends a grant.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ID is the grant's.
	ID uint64
	// Outcome says how the request ended.
	Outcome Outcome
	// ElapsedMillis is how long the server took.
	ElapsedMillis int
	// KeepAliveMillis is how long the connection stays usable; 0 if it was closed.
	KeepAliveMillis int
	// Pace is the time that work takes on the server now, in percent of the
	// usual; 0 if the server didn't tell.
	Pace int
	// AnswerBytes is the size of the answer's body.
	AnswerBytes int
}

// Cancel withdraws an ask, or the grant that answered it.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Seq is that of the ask.
	Seq uint64
}

// Sample is one health check of a backend server.
type Sample struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Server is the server's number.
	Server uint32
	// Healthy says that the server answered that it is well.
	Healthy bool
	// WrongServer says that another server answers at the address.
	WrongServer bool
	// Pace is that of [Release].
	Pace int
	// ColdMillis is how much longer the server stays cold; negative if it didn't
	// tell.
	ColdMillis int
	// Running counts the requests that run or wait on the server; negative if it
	// didn't tell.
	Running int
	// PaceValidMillis is how long the pace holds, in milliseconds; 0 if that is not
	// known.
	PaceValidMillis int
}

// HeldGrant is a grant that an entry holds from another broker.
type HeldGrant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ServerID is the identifier of the backend server.
	ServerID string
	// ID is the grant's number, which the entry goes on using.
	ID uint64
}

// Output is a message to an entry; one field is set.
type Output struct {
	// Entry is the receiver.
	Entry string
	// Grant or Refusal is the message.
	Grant   *Grant
	Refusal *Refusal
	// Server is the granted server.
	Server *Server
}

// millis converts milliseconds.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
