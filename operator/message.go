package operator

import (
	"tanagerbarrow/consensus"
	"tanagerbarrow/state"
)

// PlanRequest requests a plan for an intent.
type PlanRequest struct {
	// ID identifies the plan. A repeated ID returns the first plan. If it is
	// empty, the server chooses one.
	ID string `json:"id,omitempty"`
	// Intent is the change that the operator wants.
	Intent state.Intent `json:"intent"`
}

// Confirmation confirms a plan.
type Confirmation struct {
	// ID identifies the command. A repeated ID returns the first answer. If it is
	// empty, the ID is made of the plan's ID and the operator.
	ID string `json:"id,omitempty"`
	// Operator is the name of the operator who confirms.
	Operator string `json:"operator"`
	// Digest is the digest of the plan as the operator saw it.
	Digest string `json:"digest"`
}

// Status is the status of the system.
type Status struct {
	// Replica describes the replicated log as one control host sees it.
	Replica consensus.Status `json:"replica"`
	// Version is the newest accepted configuration version.
	Version uint64 `json:"version"`
	// HostVersions maps each entry host that was seen to the configuration
	// version in force there.
	HostVersions map[string]uint64 `json:"hosts"`
	// Entries describes each entry host that the settings list.
	Entries []HostStatus `json:"entries"`
	// UnadmittedServers counts the backend servers that announced themselves for
	// services that are not admitted. They receive no requests.
	UnadmittedServers []state.CapacityRow `json:"held,omitempty"`
	// Controls describes each control host that the settings list.
	Controls []ControlStatus `json:"controls"`
}

// ControlStatus is the status of one control host, as that host reports it.
type ControlStatus struct {
	// Host is the name of the control host.
	Host string `json:"host"`
	// Answered is false if the control host did not respond. The other fields are
	// then meaningless, except Host.
	Answered bool `json:"answered"`
	// Version is the newest configuration version that the control host holds.
	Version uint64 `json:"version"`
	// QuorumContactMillisecondsAgo is the time since the control host last
	// reached the quorum, in milliseconds.
	QuorumContactMillisecondsAgo int64 `json:"proof_milliseconds_ago"`
}

// HostStatus is the status of one entry host, merged from all control hosts.
type HostStatus struct {
	// Host is the name of the entry host.
	Host string `json:"host"`
	// AvailabilityZone is where the entry host is located.
	AvailabilityZone string `json:"availability_zone"`
	// Seen reports whether any control host was called by the entry host.
	Seen bool `json:"heard"`
	// Version is the configuration version in force on the entry host.
	Version uint64 `json:"version"`
	// LastSeenMillisecondsAgo is the time since the entry host last called a
	// control host, in milliseconds.
	LastSeenMillisecondsAgo int64 `json:"heard_milliseconds_ago"`
	// LastSeenBy is the control host that the entry host called last.
	LastSeenBy string `json:"heard_by,omitempty"`
}

// Hosts is the status of the hosts, merged from all control hosts.
type Hosts struct {
	// Entries describes each entry host that the settings list, by name.
	Entries []HostStatus
	// Controls describes each control host that the settings list, by name.
	Controls []ControlStatus
}

// History is the newest part of the audit log.
type History struct {
	// Records are the confirmations, the oldest first.
	Records []state.AuditRecord `json:"records"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	// Message says what failed and where.
	Message string `json:"message"`
}
