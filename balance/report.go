package balance

import "tanagerbarrow/limit"

// Report is what one entry reports to another of its region about load. Counts are
// absolute, so that a later full report makes up for a lost one.
type Report struct {
	// From is the name of the sending host.
	From string `json:"f"`
	// Full means that backend servers without a count have no request in progress.
	Full bool `json:"all,omitempty"`
	// Counts are those that changed since the last acknowledged report.
	Counts []Count `json:"c,omitempty"`
	// LoanRequests are cold backend servers for which the sender needs a loan; the
	// receiver owns their admission.
	LoanRequests []AdmissionState `json:"w,omitempty"`
	// Suspects are backend servers that the sender considers cold until their owner
	// reports the state.
	Suspects []AdmissionState `json:"s,omitempty"`
	// LoanReturns are the loans that the sender no longer uses.
	LoanReturns []LoanReturn `json:"r,omitempty"`
	// AdmissionStates are the changed states of backend servers whose admission the
	// sender owns or owned.
	AdmissionStates []AdmissionState `json:"p,omitempty"`

	countsTick uint64
	statesTick uint64
}

// Count is the number of requests of one entry in progress on one backend server.
type Count struct {
	Key

	// InFlight is the count.
	InFlight int64 `json:"n"`
}

// AdmissionState is whether a backend server needs admission.
type AdmissionState struct {
	Key

	// Epoch counts the admissions of the backend server.
	Epoch uint64 `json:"e"`
	// Cold is true if it needs admission.
	Cold bool `json:"x"`
}

// Loan is the right to run one request on a cold backend server.
type Loan struct {
	Key

	// ID identifies the loan within the admission.
	ID uint64 `json:"i"`
	// Epoch is that of the admission.
	Epoch uint64 `json:"e"`
}

// LoanReturn ends a loan.
type LoanReturn struct {
	Loan

	// Outcome is that of the request.
	Outcome limit.Outcome `json:"o"`
}

// Reply is the reply to a report.
type Reply struct {
	// Loans are those granted for the report's loan requests.
	Loans []Loan `json:"l,omitempty"`
	// NeedsFull is true if the receiver has no full report of the sender and needs
	// one.
	NeedsFull bool `json:"lost,omitempty"`
}
