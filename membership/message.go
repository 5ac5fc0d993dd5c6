package membership

import "context"

// The RPC methods between entries.
const (
	// MethodPing asks whether a host is alive and compares digests.
	MethodPing = "membership.ping"
	// MethodProbe asks a host to ping a third host.
	MethodProbe = "membership.probe"
	// MethodSync exchanges the changes that either side lacks.
	MethodSync = "membership.sync"
	// MethodPush sends changes.
	MethodPush = "membership.push"
	// MethodForward forwards announcements to the owner of their leases, and
	// hands leases over.
	MethodForward = "membership.take"
)

// Transport calls methods of other entries.
type Transport interface {
	// Call performs one call and stores its answer in result; ctx bounds the
	// call.
	Call(ctx context.Context, host, method string, params, result any) error
}

// Ping asks whether a host is alive.
type Ping struct {
	// Digest is the sender's digest of its table and host states.
	Digest uint64 `json:"digest"`
}

// Pong answers [Ping].
type Pong struct {
	// Differs is true if the digests of both sides differ.
	Differs bool `json:"differs,omitempty"`
}

// Probe asks a host to ping another host.
type Probe struct {
	// Host is the host to ping.
	Host string `json:"host"`
}

// ProbeResult answers [Probe].
type ProbeResult struct {
	// Answered is true if the host answered the ping.
	Answered bool `json:"answered,omitempty"`
}

// Sync reports what the sender knows.
type Sync struct {
	// Versions says up to which version the sender knows each origin.
	Versions []OriginVersion `json:"marks"`
	// Hosts are the host states that the sender knows.
	Hosts []HostState `json:"hosts"`
}

// SyncResult answers [Sync] with the changes that the sender of the request
// lacks, as many as fit into one message.
type SyncResult struct {
	Sync

	// Deltas are changes that the sender of the request lacks.
	Deltas []Delta `json:"deltas,omitempty"`
	// Joined is true if the answering node has joined the other entries.
	Joined bool `json:"joined,omitempty"`
}

// Push sends changes.
type Push struct {
	// Deltas are changed registers.
	Deltas []Delta `json:"deltas,omitempty"`
	// Hosts are changed host states.
	Hosts []HostState `json:"hosts,omitempty"`
}

// PushResult answers [Push].
type PushResult struct{}

// Forward sends announcements to the owner of their leases, or hands leases
// over.
type Forward struct {
	// Servers are the announced records.
	Servers []BackendServer `json:"servers"`
	// Handover is true if the sender shuts down and owned the leases of the
	// records until now.
	Handover bool `json:"handover,omitempty"`
}

// ForwardResult answers [Forward].
type ForwardResult struct {
	// LeaseMillis is the lease granted to the last record, in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
	// Refusal says why the last record was rejected; empty if it was accepted.
	Refusal string `json:"refusal,omitempty"`
}
