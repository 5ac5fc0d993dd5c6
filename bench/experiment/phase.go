package experiment

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// Phase is one period of an experiment with its load and its fault.
type Phase struct {
	// Name names the phase.
	Name string
	// Load is the request rate as a fraction of the capacity of the profile.
	Load float64
	// Begin injects the fault of the phase; it may be nil.
	Begin func(d *Deployment) error
	// End removes the fault after the phase; it may be nil.
	End func(d *Deployment) error
	// ZoneOut is the availability zone that is taken out, which should receive no
	// new requests; it may be empty.
	ZoneOut string
}

// The loads of phases, as fractions of capacity.
const (
	normalLoad = 0.6
	burstLoad  = 1.5
)

// Phases returns the phases of a full experiment.
func Phases(p *Profile) []Phase {
	zone := p.ZoneOrder[0]
	return []Phase{
		{Name: "calm", Load: normalLoad},
		{Name: "burst", Load: burstLoad},
		{
			Name: "zone out", Load: normalLoad, ZoneOut: zone,
			Begin: func(d *Deployment) error { return d.applyIntent(state.TakeZoneOut, zone) },
		},
		{
			Name: "zone back", Load: normalLoad,
			Begin: func(d *Deployment) error { return d.applyIntent(state.BringZoneBack, zone) },
		},
		{Name: "straggler", Load: normalLoad, Begin: startStraggler, End: endStraggler},
		{Name: "killed entry", Load: normalLoad, Begin: killEntry, End: restartEntry},
		{Name: "frozen control leader", Load: normalLoad, Begin: freezeLeader, End: resumeLeader},
	}
}

// stragglePercent is the service time of a slowed-down backend server, in percent
// of its usual service time.
const stragglePercent = 2000

// startStraggler slows down one backend server of the first service.
func startStraggler(d *Deployment) error {
	script := d.backends[0].Script()
	script.StragglePercent = stragglePercent
	d.backends[0].SetScript(script)
	return nil
}

// endStraggler restores the service time of the slow backend server.
func endStraggler(d *Deployment) error {
	script := d.backends[0].Script()
	script.StragglePercent = 0
	d.backends[0].SetScript(script)
	return nil
}

// killedEntry returns the entry to kill, which is the last one.
func (d *Deployment) killedEntry() cluster.Process { return d.system.Entries[len(d.system.Entries)-1] }

// killEntry kills one entry.
func killEntry(d *Deployment) error { return d.system.Kill(d.killedEntry().Name) }

// restartEntry starts the killed entry again.
func restartEntry(d *Deployment) error { return d.system.Launch("entry", d.killedEntry()) }

// freezeLeader suspends the control leader with SIGSTOP.
func freezeLeader(d *Deployment) error {
	s, err := d.operatorClient().Status()
	if err != nil {
		return errors.Wrap(err, "find the control leader")
	}
	d.frozenControl = s.Replica.Leader
	return d.system.Signal(d.frozenControl, syscall.SIGSTOP)
}

// resumeLeader resumes the suspended control process.
func resumeLeader(d *Deployment) error { return d.system.Signal(d.frozenControl, syscall.SIGCONT) }

// intentTimeout bounds the time until the plan of an intent is accepted.
const intentTimeout = 20 * time.Second

// applyIntent submits an intent and confirms its plan. It retries after any error
// until intentTimeout and returns the last error.
func (d *Deployment) applyIntent(kind state.IntentKind, subject string) error {
	var last error
	for end := time.Now().Add(intentTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if last = d.tryIntent(kind, subject); last == nil {
			return nil
		}
	}
	return last
}

// tryIntent submits an intent and confirms its plan once.
func (d *Deployment) tryIntent(kind state.IntentKind, subject string) error {
	c := d.operatorClient()
	p, err := c.Plan(state.Intent{Kind: kind, Subject: subject})
	if err != nil {
		return err
	}
	if p.Refusal != "" {
		return errors.Newf("plan %s %q was refused: %s", kind, subject, p.Refusal)
	}
	a, err := c.Confirm(p.ID, operator.Confirmation{Operator: "experiment", Digest: p.Digest})
	if err != nil {
		return err
	}
	if !a.Accepted {
		return errors.Newf("plan %s %q was not accepted: %s", kind, subject, a.Reason)
	}
	return nil
}
