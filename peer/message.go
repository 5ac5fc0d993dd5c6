package peer

import (
	"tanagerbarrow/ledger"
	"tanagerbarrow/state"
)

// Methods of calls between processes.
const (
	// MethodHello authenticates the caller with the peer key. It must be the
	// first call on a connection.
	MethodHello = "hello"
	// MethodWatch waits for a configuration newer than the caller's.
	MethodWatch = "configuration.watch"
	// MethodHosts returns the status of the entry hosts as one control host sees
	// it.
	MethodHosts = "hosts.list"
	// MethodLedger executes a ledger command.
	MethodLedger = "ledger.apply"
)

// Hello holds the parameters of [MethodHello].
type Hello struct {
	// Host is the name of the calling host.
	Host string `json:"host"`
	// Key is the peer key.
	Key string `json:"key"`
}

// WatchRequest asks a control host, or an entry that relays configurations, for
// a configuration newer than Version.
type WatchRequest struct {
	// Host is the name of the requesting host.
	Host string `json:"host"`
	// Version is the configuration version in force on the requesting host.
	Version uint64 `json:"have"`
	// HasConfiguration reports whether the requesting host has a configuration at
	// all.
	HasConfiguration bool `json:"known,omitempty"`
	// Full requests a whole configuration. It is set after a delta could not be
	// applied.
	Full bool `json:"full,omitempty"`
	// Report counts the backend servers that the requesting host knows. It is nil
	// if the counts have not changed since the last report to this peer.
	Report *EntryCapacity `json:"report,omitempty"`
}

// EntryCapacity counts the backend servers that one entry knows.
type EntryCapacity struct {
	// Rows are the counts of backend servers.
	Rows []state.CapacityRow `json:"rows,omitempty"`
}

// WatchResponse is the response to a [WatchRequest]. Both parts of the update
// are nil if the wait ended without a newer configuration.
type WatchResponse struct {
	state.Update

	// UpToDateMillisecondsAgo is the time since the answering host was last
	// proven to hold the newest accepted version, in milliseconds.
	UpToDateMillisecondsAgo int64 `json:"fresh_ago"`
}

// HostsResponse describes one control host and the entry hosts it has been
// called by.
type HostsResponse struct {
	// EntryHosts are the entry hosts that called this control host.
	EntryHosts []EntryHostStatus `json:"heard,omitempty"`
	// Version is the newest version that the control host itself holds.
	Version uint64 `json:"version"`
	// QuorumContactMillisecondsAgo is the time since the control host last had
	// proof of contact with the quorum, in milliseconds.
	QuorumContactMillisecondsAgo int64 `json:"proof_ago"`
	// Capacity merges the reports of the entry hosts that were seen recently.
	Capacity state.CapacityReport `json:"capacity"`
}

// EntryHostStatus is the status of one entry host as one control host sees it.
type EntryHostStatus struct {
	// Host is the name of the entry host.
	Host string `json:"host"`
	// Version is the configuration version in force on the entry host.
	Version uint64 `json:"version"`
	// LastSeenMillisecondsAgo is the time since the entry host last called the
	// control host, in milliseconds.
	LastSeenMillisecondsAgo int64 `json:"ago"`
}

// LedgerCommand carries a ledger command to the voters of its group.
type LedgerCommand struct {
	// Group is the name of the ledger group, see [ledger.GroupOf].
	Group string `json:"group,omitempty"`
	// Command is the command to execute.
	Command ledger.Command `json:"command"`
}

// Empty is the result of methods that return nothing.
type Empty struct{}
