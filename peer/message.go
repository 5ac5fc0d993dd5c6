package peer

import (
	"tanagerbarrow/ledger"
	"tanagerbarrow/membership"
	"tanagerbarrow/state"
)

// The methods between processes.
const (
	// MethodHello presents the peer key; it is the first call.
	MethodHello = "hello"
	// MethodWatch waits for a configuration newer than the caller's.
	MethodWatch = "configuration.watch"
	// MethodLedger carries out a ledger command.
	MethodLedger = "ledger.apply"
	// MethodMembers tells another entry of backend servers.
	MethodMembers = "membership.push"
)

// Hello presents a process to its peer.
type Hello struct {
	// Host is the name of the calling host.
	Host string `json:"host"`
	// Key is the peer key.
	Key string `json:"key"`
}

// Watch asks for a configuration that is newer than Have.
type Watch struct {
	// Host is the name of the asking host.
	Host string `json:"host"`
	// Have is the version in force on the asking host.
	Have uint64 `json:"have"`
}

// Watched answers [Watch]. Configuration is nil if nothing newer came in time.
type Watched struct {
	// Configuration is the newer configuration.
	Configuration *state.Configuration `json:"configuration,omitempty"`
}

// Members tells of backend servers.
type Members struct {
	// Servers are the records of the telling host.
	Servers []membership.BackendServer `json:"servers"`
}

// LedgerCommand is a ledger command on its way to the voters.
type LedgerCommand struct {
	// Group is the ledger's replicated group; empty for the one of all regions.
	Group string `json:"group,omitempty"`
	// Command is what to do.
	Command ledger.Command `json:"command"`
}

// Empty is the answer of methods that return nothing.
type Empty struct{}
