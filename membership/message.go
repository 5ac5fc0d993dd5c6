package membership

import "context"

// The methods between entries.
const (
	// MethodPing asks whether a host is alive and compares digests.
	MethodPing = "membership.ping"
	// MethodProbe asks a host to ping a third one.
	MethodProbe = "membership.probe"
	// MethodSync exchanges what either side lacks.
	MethodSync = "membership.sync"
	// MethodPush tells of changes.
	MethodPush = "membership.push"
	// MethodForward passes announcements on to the owner of their leases.
	MethodForward = "membership.take"
)

// Transport calls a method of another entry.
type Transport interface {
	// Call carries out one call; ctx bounds it.
	Call(ctx context.Context, host, method string, params, result any) error
}

// Ping asks whether a host is alive.
type Ping struct {
	// Digest is the asker's digest of all that it knows.
	Digest uint64 `json:"digest"`
}

// Pong answers [Ping].
type Pong struct {
	// Differs says that the digests are not the same.
	Differs bool `json:"differs,omitempty"`
}

// Probe asks a host to ping another.
type Probe struct {
	// Host is whom to ping.
	Host string `json:"host"`
}

// Probed answers [Probe].
type Probed struct {
	// Answered says that the host answered.
	Answered bool `json:"answered,omitempty"`
}

// Sync tells what one side knows.
type Sync struct {
	// Marks say how far each origin is known.
	Marks []Mark `json:"marks"`
	// Hosts are the states of hosts.
	Hosts []HostState `json:"hosts"`
}

// Synced answers [Sync] with what the asker lacks, as much as fits.
type Synced struct {
	Sync

	// Deltas are what the asker lacks.
	Deltas []Delta `json:"deltas,omitempty"`
	// Joined says that the answering node has joined the others.
	Joined bool `json:"joined,omitempty"`
}

// Push tells of changes.
type Push struct {
	// Deltas are changed registers.
	Deltas []Delta `json:"deltas,omitempty"`
	// Hosts are changed states of hosts.
	Hosts []HostState `json:"hosts,omitempty"`
}

// Pushed answers [Push].
type Pushed struct{}

// Take passes announcements on to their owner.
type Take struct {
	// Servers are the announced records.
	Servers []BackendServer `json:"servers"`
	// Handover says that the sender stops and vouched for the records so far.
	Handover bool `json:"handover,omitempty"`
}

// Taken answers [Take].
type Taken struct {
	// LeaseMillis is the lease granted to the last record, in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
	// Refusal says why the last record was not taken; empty if it was.
	Refusal string `json:"refusal,omitempty"`
}
