package operator

import (
	"tanagerbarrow/consensus"
)

// Confirmation confirms a plan.
type Confirmation struct {
	// Operator is who confirms.
	Operator string `json:"operator"`
	// Digest is the plan's digest as the operator saw it.
	Digest string `json:"digest"`
}

// Status describes the system as one control host sees it.
type Status struct {
	// Replica describes the replicated log.
	Replica consensus.Status `json:"replica"`
	// Version is the newest accepted version.
	Version uint64 `json:"version"`
	// Hosts gives the version in force on each entry host.
	Hosts map[string]uint64 `json:"hosts"`
}

// Failure is the body of an error response.
type Failure struct {
	// Message says what failed and where.
	Message string `json:"message"`
}
