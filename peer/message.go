package peer

import (
	"tanagerbarrow/ledger"
	"tanagerbarrow/state"
)

// The methods between processes.
const (
	// MethodHello presents the peer key; it is the first call.
	MethodHello = "hello"
	// MethodWatch waits for a configuration newer than the caller's.
	MethodWatch = "configuration.watch"
	// MethodHosts tells what a control host heard of the entry hosts.
	MethodHosts = "hosts.list"
	// MethodLedger carries out a ledger command.
	MethodLedger = "ledger.apply"
)

// Hello presents a process to its peer.
type Hello struct {
	// Host is the name of the calling host.
	Host string `json:"host"`
	// Key is the peer key.
	Key string `json:"key"`
}

// WatchRequest asks a control host, or an entry that relays, for a configuration that
// is newer than Have.
type WatchRequest struct {
	// Host is the name of the asking host.
	Host string `json:"host"`
	// Version is the version in force on the asking host.
	Version uint64 `json:"have"`
	// HasConfiguration says that the asking host has a configuration at all.
	HasConfiguration bool `json:"known,omitempty"`
	// Full asks for a whole configuration, after a delta did not fit.
	Full bool `json:"full,omitempty"`
	// Report tells what the asking host knows of backend servers; nil if that
	// has not changed since its last report to this peer.
	Report *EntryCapacity `json:"report,omitempty"`
}

// EntryCapacity tells what an entry knows of backend servers.
type EntryCapacity struct {
	// Rows count the backend servers.
	Rows []state.CapacityRow `json:"rows,omitempty"`
}

// WatchResponse answers [WatchRequest]. Both parts of the update are nil if nothing newer
// came in time.
type WatchResponse struct {
	state.Update

	// UpToDateMillisecondsAgo is the age of the answering host's proof that it knew
	// the newest accepted version, in milliseconds.
	UpToDateMillisecondsAgo int64 `json:"fresh_ago"`
}

// HostsResponse is what one control host knows of itself and the entry hosts.
type HostsResponse struct {
	// EntryHosts are the entry hosts.
	EntryHosts []EntryHostStatus `json:"heard,omitempty"`
	// Version is the newest version that the control host itself holds.
	Version uint64 `json:"version"`
	// QuorumContactMillisecondsAgo is the age of its proof of touch with the quorum, in
	// milliseconds.
	QuorumContactMillisecondsAgo int64 `json:"proof_ago"`
	// Capacity merges what those heard lately reported.
	Capacity state.CapacityReport `json:"capacity"`
}

// EntryHostStatus is what one control host heard of one entry host.
type EntryHostStatus struct {
	// Host is the entry host.
	Host string `json:"host"`
	// Version is the version in force there.
	Version uint64 `json:"version"`
	// LastSeenMillisecondsAgo is the time since it was heard, in milliseconds.
	LastSeenMillisecondsAgo int64 `json:"ago"`
}

// LedgerCommand is a ledger command on its way to the voters.
type LedgerCommand struct {
	// Group is the name of the ledger group, see [ledger.GroupOf].
	Group string `json:"group,omitempty"`
	// Command is what to do.
	Command ledger.Command `json:"command"`
}

// Empty is the answer of methods that return nothing.
type Empty struct{}
