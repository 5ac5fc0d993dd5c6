// Package protocol holds the messages between entries and control hosts of a
// deployment whose processes find each other.
package protocol

import (
	"tanagerbarrow/broker"
	"tanagerbarrow/link"
)

// The kinds of messages.
const (
	// KindHello is the first message on a connection.
	KindHello link.Kind = iota + 16
	// KindDirectory tells where the control hosts are and which one leads.
	KindDirectory
	// KindSubscribe asks the leader for its view and for grants.
	KindSubscribe
	// KindWelcome answers KindSubscribe on a leader.
	KindWelcome
	// KindView carries changes of the view.
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
	// KindSamples carries health checks.
	KindSamples
	// KindCheckAssignment tells an entry which backend servers to check.
	KindCheckAssignment
	// KindReplication carries messages of the replicated log.
	KindReplication
	// KindCompactReplication carries those of them that are short and frequent.
	KindCompactReplication
	// KindReplicationCall is a call between replicas.
	KindReplicationCall
	// KindHeartbeat carries a backend server's heartbeat to the leader.
	KindHeartbeat
	// KindRecordsCall asks for all records of backend servers.
	KindRecordsCall
)

// ControlHost is a control host in a [Directory].
type ControlHost struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Name is the host's name.
	Name string
	// PeerAddress is where other processes connect, and ControlAddress where operators and
	// backend servers do.
	PeerAddress, ControlAddress string
	// AvailabilityZone is where it stands.
	AvailabilityZone string
}

// Hello presents the sender.
type Hello struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Name is the sender's host, and AvailabilityZone where it stands.
	Name, AvailabilityZone string
	// ControlHost is set by control hosts.
	ControlHost *ControlHost
}

// Directory tells what a control host knows of the others.
type Directory struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// LeaderAddress is the peer address of the leader, empty if none is known, and
	// Term its term.
	LeaderAddress string
	Term          uint64
	// Hosts are the known control hosts.
	Hosts []ControlHost
}

// Subscribe asks a leader for its view.
type Subscribe struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Version is the version of the configuration that the entry holds.
	Version uint64
	// Held are the grants in use.
	Held []broker.HeldGrant
}

// Welcome says that the sender leads.
type Welcome struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Term is the leader's term; an entry ignores lower ones than it has seen.
	Term uint64
}

// Server is a backend server in a [View].
type Server struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Number is the server's number in messages of this term.
	Number uint32
	// ID, Service, Address and AvailabilityZone are those of its heartbeats.
	ID, Service, Address, AvailabilityZone string
	// Slots is how many requests it runs at a time.
	Slots int
	// ColdMillis is how much longer it stays cold.
	ColdMillis int
}

// View carries changes of what the leader knows.
type View struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Full says that Servers are all.
	Full bool
	// Servers are new or have changed.
	Servers []Server
	// Removed are servers that get no more requests.
	Removed []uint32
	// ZonesOut are the availability zones that get no work, all of them.
	ZonesOut []string
}

// Document carries a configuration, compressed with DEFLATE against the content
// of another version that the receiver holds.
type Document struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Version is the configuration's, and BaseVersion that of the other one; 0 for none.
	Version, BaseVersion uint64
	// Packed is the compressed content.
	Packed []byte
}

// CheckAssignment tells an entry which backend servers to check.
type CheckAssignment struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Servers are their numbers.
	Servers []uint32
}

// Heartbeat carries a backend server's heartbeat between control hosts.
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
	// AgeMillis is how long ago it arrived at the sender.
	AgeMillis int
}

// CompactReplicationMessage is a message of the replicated log without entries.
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
