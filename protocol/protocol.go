// Package protocol defines the messages that entries and control hosts exchange
// in a deployment whose processes discover each other.
package protocol

import (
	"tanagerbarrow/broker"
	"tanagerbarrow/link"
)

// The kinds of messages.
const (
	// KindHello is the first message on a connection.
	KindHello link.Kind = iota + 16
	// KindDirectory lists the addresses of the control hosts and names the leader.
	KindDirectory
	// KindSubscribe requests the view and grants from the leader.
	KindSubscribe
	// KindWelcome is the leader's reply to KindSubscribe.
	KindWelcome
	// KindView carries changes to the leader's view of backend servers and zones.
	KindView
	// KindDocument carries a configuration.
	KindDocument
	// KindAsk, KindGrant, KindRefusal, KindRelease and KindCancel carry the
	// broker's messages.
	KindAsk
	KindGrant
	KindRefusal
	KindRelease
	KindCancel
	// KindSamples carries results of health checks.
	KindSamples
	// KindCheckAssignment assigns an entry the backend servers that it checks.
	KindCheckAssignment
	// KindReplication carries messages of the replicated log.
	KindReplication
	// KindCompactReplication carries the short and frequent messages of the
	// replicated log in a compact encoding.
	KindCompactReplication
	// KindReplicationCall is a call between replicas.
	KindReplicationCall
	// KindHeartbeat forwards a backend server's heartbeat to the leader.
	KindHeartbeat
	// KindRecordsCall is a call that returns all records of backend servers.
	KindRecordsCall
	// KindPath tells the broker whether an entry reaches the backend servers.
	KindPath
	// KindRelays lists the entries that may relay requests without a broker.
	KindRelays
	// KindBackoff tells the broker that a backend server wants no requests of an entry for
	// a time. Control hosts that don't know it ignore it.
	KindBackoff
	// KindLeaving tells the broker that a backend server has said in a response that it leaves.
	// Control hosts that don't know it ignore it.
	KindLeaving
	// KindZoneOrderCall is a call for the leader to execute an operator's order on an
	// availability zone. Control hosts that don't know it reject it.
	KindZoneOrderCall
	// KindCapabilities tells an entry which further messages the broker handles. The broker
	// sends it right after its welcome; a broker that doesn't send it handles none of them,
	// and entries that don't know it ignore it.
	KindCapabilities
	// KindDetailedAsk is an ask with what the broker needs to know about the request's route
	// and client account.
	KindDetailedAsk
	// KindVersions tells other control hosts the software versions of backend servers. As a call
	// it returns all that the receiver knows. Control hosts that don't know it ignore or reject it.
	KindVersions
	// KindRollouts tells entries the roll-outs in progress and the servers that they may use
	// with a grant only or not at all. Entries confirm it by the same kind. Entries that don't
	// know it ignore it.
	KindRollouts
	// KindResult tells the broker how a request of a service with a roll-out ended.
	KindResult
	// KindRolloutOrderCall is a call for the leader to execute an operator's order on a
	// roll-out. Control hosts that don't know it reject it.
	KindRolloutOrderCall
	// KindCurrencyQuery asks the broker to confirm that an entry's configuration is the newest,
	// and KindCurrency is its reply.
	KindCurrencyQuery
	KindCurrency
	// KindAccountShares tells entries what part of the client accounts' request limits they may
	// use without a broker.
	KindAccountShares
	// KindAccountUse tells a broker which of these parts an entry holds from before.
	KindAccountUse
)

// Capabilities are the further messages that a broker handles.
type Capabilities struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// DetailedAsks says that the broker handles [KindDetailedAsk].
	DetailedAsks bool
	// Results says that the broker handles [KindResult].
	Results bool
	// Currency says that the broker handles [KindCurrencyQuery] and [KindAccountUse].
	Currency bool
}

// ControlHost is a control host in a [Directory].
type ControlHost struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Name is the host's name.
	Name string
	// PeerAddress accepts connections of other processes, and ControlAddress
	// those of operators and backend servers.
	PeerAddress, ControlAddress string
	// AvailabilityZone is the zone in which the host is located.
	AvailabilityZone string
}

// Hello identifies the sender.
type Hello struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Name is the name of the sender's host, and AvailabilityZone its zone.
	Name, AvailabilityZone string
	// ControlHost describes the sender if it is a control host, and is nil
	// otherwise.
	ControlHost *ControlHost
}

// Directory lists the control hosts that the sender has discovered.
type Directory struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// LeaderAddress is the peer address of the leader, empty if none is known, and
	// Term its term.
	LeaderAddress string
	Term          uint64
	// Hosts are the discovered control hosts.
	Hosts []ControlHost
}

// Subscribe requests a leader's view.
type Subscribe struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Version is the version of the configuration that the entry holds.
	Version uint64
	// Held are the grants that the entry uses.
	Held []broker.HeldGrant
	// Limits are the request limits that the entry knows.
	Limits []broker.ServerLimit
	// RelayAddress accepts requests of other entries that the entry relays; empty if it
	// relays none.
	RelayAddress string
	// Path is the entry's path to the backend servers.
	Path Path
}

// Path tells whether an entry reaches the backend servers.
type Path struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Lost says that the entry reaches no backend server, so that others must relay its
	// requests.
	Lost bool
	// Stopping says that the entry relays no further requests.
	Stopping bool
}

// Leaving says that a backend server has said in a response that it leaves.
type Leaving struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ServerID is the server's identifier.
	ServerID string
	// Number is the server's number, and Term the term of the broker that gave it. Another
	// start of the server has another number.
	Number uint32
	Term   uint64
}

// Relay is an entry that may relay requests of others.
type Relay struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Address accepts the requests of other entries.
	Address string
	// AvailabilityZone is the entry's zone.
	AvailabilityZone string
}

// Welcome confirms that the sender is the leader.
type Welcome struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Term is the leader's term; an entry ignores terms lower than one it has
	// already seen.
	Term uint64
}

// Server is a backend server in a [View].
type Server struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Number identifies the server in messages of this term.
	Number uint32
	// ID, Service, Address and AvailabilityZone are copied from its heartbeats.
	ID, Service, Address, AvailabilityZone string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// ColdMillis is the time until the server is no longer cold, in milliseconds.
	ColdMillis int
	// Limit is the request limit that the server names; nil if it names none.
	Limit *broker.RequestLimit
}

// View carries changes to the leader's view of backend servers and zones.
type View struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Full reports whether Servers is the complete list instead of the changes.
	Full bool
	// Servers are new or have changed.
	Servers []Server
	// Removed are the numbers of servers that get no more requests.
	Removed []uint32
	// ZonesOut is the complete list of availability zones that get no requests.
	ZonesOut []string
	// Entries is the number of connected entries.
	Entries int
}

// Document carries a configuration, compressed with DEFLATE. The content of
// another version that the receiver holds is the dictionary.
type Document struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Version is the version of this configuration. BaseVersion is the version of
	// the dictionary, 0 for none.
	Version, BaseVersion uint64
	// Packed is the content, compressed.
	Packed []byte
}

// CheckAssignment assigns an entry the backend servers whose health it checks.
type CheckAssignment struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Servers are the numbers of the backend servers.
	Servers []uint32
}

// Rollouts tells an entry what it may send to servers of services with a roll-out. It comes
// ahead of the views with the servers that it concerns. An entry begins each session without
// any; what a message doesn't name stays as it was.
type Rollouts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Sequence numbers the messages that the entry confirms, within a term; 0 for others.
	Sequence uint64
	// Services is the complete list of the services with a roll-out in progress, whose results
	// the entry reports.
	Services []ServiceRollout
	// GrantOnly are the numbers of servers that may be used with a grant only, Excluded of
	// those that may not be used at all, and Free of those that may be used.
	GrantOnly, Excluded, Free []uint32
}

// ServiceRollout is a roll-out in progress.
type ServiceRollout struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Service is the name of the service.
	Service string
	// Position identifies the roll-out, and Stage is the stage that it has reached.
	Position uint64
	Stage    string
}

// RolloutsConfirmation says that an entry keeps to a [Rollouts] message.
type RolloutsConfirmation struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Sequence is that of the message.
	Sequence uint64
	// Running counts the entry's requests that still run on excluded servers.
	Running int
}

// Heartbeat forwards a backend server's heartbeat between control hosts.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID               string
	Started          int64
	Sequence         uint64
	Service, Address string
	AvailabilityZone string
	Slots            int
	Draining         bool
	ColdMillis       int
	// AgeMillis is the time since the sender received it, in milliseconds.
	AgeMillis int
}

// ServerVersion is the version of the software of one start of a backend server.
type ServerVersion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ID and Started identify the start as in its heartbeats.
	ID      string
	Started int64
	// Version is the version of its software.
	Version string
}

// CompactReplicationMessage is a message of the replicated log that carries no
// log entries and no snapshot.
type CompactReplicationMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Type                uint8
	From, To            uint64
	Term                uint64
	PrevIndex, PrevTerm uint64
	Commit, ReadSeq     uint64
	Reject, Transfer    bool
	HintIndex, HintTerm uint64
}

// ZoneOrder is the parameter of [KindZoneOrderCall].
type ZoneOrder struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Zone is the name of the availability zone.
	Zone string
	// Out says that the zone is taken out of service; otherwise it is brought back.
	Out bool
	// Position is the position of the replicated log that the operator received before it
	// sent the order.
	Position uint64
}

// RolloutOrder is the parameter of [KindRolloutOrderCall].
type RolloutOrder struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Service is the name of the service, and TargetVersion the version that it is moved to.
	Service, TargetVersion string
	// DurationMillis is the time within which the operator wants it done, in milliseconds.
	DurationMillis int64
	// Position is the position of the replicated log that the operator received before it
	// sent the order.
	Position uint64
}

// OrderOutcome is the outcome of an operator's order.
type OrderOutcome uint8

// The outcomes of orders.
const (
	// OrderFailed means that the order may or may not be executed.
	OrderFailed OrderOutcome = iota
	// OrderExecuted means that the order is committed, or that what it asks for is already.
	OrderExecuted
	// OrderOutdated means that another order on the same subject stands behind the position,
	// so that this one is not executed.
	OrderOutdated
	// OrderNotLeading means that the host doesn't lead and has not executed the order.
	OrderNotLeading
	// OrderInProgress means that another order on the same subject is still in progress.
	OrderInProgress
	// OrderUnknownSubject means that the configuration doesn't have the subject.
	OrderUnknownSubject
	// OrderInvalid means that the order can't be executed as it stands.
	OrderInvalid
)

// OrderResult is the result of [KindZoneOrderCall] and [KindRolloutOrderCall].
type OrderResult struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Outcome OrderOutcome
	// Message tells why the order has failed.
	Message string
}
