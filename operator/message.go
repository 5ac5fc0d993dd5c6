package operator

import (
	"tanagerbarrow/consensus"
	"tanagerbarrow/state"
)

// PlanRequest states an intent.
type PlanRequest struct {
	// ID identifies the plan; a repeated ID gets the first plan. Empty lets the
	// server choose one.
	ID string `json:"id,omitempty"`
	// Intent is what is wanted.
	Intent state.Intent `json:"intent"`
}

// Confirmation confirms a plan.
type Confirmation struct {
	// ID identifies the command; a repeated ID gets the first answer. Empty
	// stands for the plan's ID together with the operator.
	ID string `json:"id,omitempty"`
	// Operator is who confirms.
	Operator string `json:"operator"`
	// Digest is the plan's digest as the operator saw it.
	Digest string `json:"digest"`
}

// Status describes the system.
type Status struct {
	// Replica describes the replicated log as one control host sees it.
	Replica consensus.Status `json:"replica"`
	// Version is the newest accepted version.
	Version uint64 `json:"version"`
	// HostVersions gives the version in force on each entry host that was heard.
	HostVersions map[string]uint64 `json:"hosts"`
	// Entries describes each entry host that the settings list.
	Entries []HostStatus `json:"entries"`
	// UnadmittedServers are the backend servers that announced themselves for services that
	// are not admitted; they get no work.
	UnadmittedServers []state.CapacityRow `json:"held,omitempty"`
	// Controls describes each control host that the settings list.
	Controls []ControlStatus `json:"controls"`
}

// ControlStatus is what one control host tells of itself.
type ControlStatus struct {
	// Host is the control host.
	Host string `json:"host"`
	// Answered is false if it did not answer; the other fields then say nothing.
	Answered bool `json:"answered"`
	// Version is the newest version that it holds.
	Version uint64 `json:"version"`
	// QuorumContactMillisecondsAgo is the time since it last reached the quorum, in
	// milliseconds.
	QuorumContactMillisecondsAgo int64 `json:"proof_milliseconds_ago"`
}

// HostStatus is what all control hosts together know of one entry host.
type HostStatus struct {
	// Host is the entry host.
	Host string `json:"host"`
	// AvailabilityZone is where it stands.
	AvailabilityZone string `json:"availability_zone"`
	// Seen says that a control host heard of it at all.
	Seen bool `json:"heard"`
	// Version is the version in force there.
	Version uint64 `json:"version"`
	// LastSeenMillisecondsAgo is the time since a control host last heard of it, in
	// milliseconds.
	LastSeenMillisecondsAgo int64 `json:"heard_milliseconds_ago"`
	// LastSeenBy is the control host that heard of it last.
	LastSeenBy string `json:"heard_by,omitempty"`
}

// Hosts is what the control hosts know of the entry hosts.
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
