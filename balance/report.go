package balance

import "tanagerbarrow/limit"

// Report is what one entry tells another of its region about load. Counts are
// absolute, so that a lost report needs only a later full one.
type Report struct {
	// From is the name of the telling host.
	From string `json:"f"`
	// Full means that servers not named have no request in progress.
	Full bool `json:"all,omitempty"`
	// Counts are the servers whose count changed since the last report.
	Counts []Count `json:"c,omitempty"`
	// LoanRequests are cold servers that the teller could use; the told host owns them.
	LoanRequests []AdmissionState `json:"w,omitempty"`
	// Suspects are servers that the teller believes cold until their owner speaks.
	Suspects []AdmissionState `json:"s,omitempty"`
	// LoanReturns ends loans.
	LoanReturns []LoanReturn `json:"r,omitempty"`
	// AdmissionStates are the states of servers that the teller owns.
	AdmissionStates []AdmissionState `json:"p,omitempty"`

	scanned uint64
	phased  uint64
}

// Count is the requests in progress of one entry on one backend server.
type Count struct {
	Key

	// InFlight is the count.
	InFlight int64 `json:"n"`
}

// AdmissionState says whether a backend server needs admission.
type AdmissionState struct {
	Key

	// Epoch counts how often the backend server turned cold.
	Epoch uint64 `json:"e"`
	// Cold means that it needs admission.
	Cold bool `json:"x"`
}

// Loan is the right to run one request on a cold backend server.
type Loan struct {
	Key

	// ID identifies the loan at the owner.
	ID uint64 `json:"i"`
	// Epoch is that of the admission.
	Epoch uint64 `json:"e"`
}

// LoanReturn ends a loan.
type LoanReturn struct {
	Loan

	// Outcome is what the request showed.
	Outcome limit.Outcome `json:"o"`
}

// Reply answers a report.
type Reply struct {
	// Loans are given for the report's wants.
	Loans []Loan `json:"l,omitempty"`
	// NeedsFull means that the told host does not know the teller's earlier
	// reports and needs a full one.
	NeedsFull bool `json:"lost,omitempty"`
}
