package experiment

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// Phase is one stretch of an experiment.
type Phase struct {
	// Name names the phase.
	Name string
	// Load is the rate as a share of the profile's capacity.
	Load float64
	// Begin brings the phase's fault about; nil does nothing.
	Begin func(w *World) error
	// End mends the fault after the phase; nil does nothing.
	End func(w *World) error
	// ZoneOut is the availability zone that should receive no new work.
	ZoneOut string
}

// The loads of phases, as shares of capacity.
const (
	calmLoad  = 0.6
	burstLoad = 1.5
)

// Phases returns the phases of a full experiment.
func Phases(p *Profile) []Phase {
	zone := p.ZoneOrder[0]
	return []Phase{
		{Name: "calm", Load: calmLoad},
		{Name: "burst", Load: burstLoad},
		{
			Name: "zone out", Load: calmLoad, ZoneOut: zone,
			Begin: func(w *World) error { return w.order(state.TakeZoneOut, zone) },
		},
		{
			Name: "zone back", Load: calmLoad,
			Begin: func(w *World) error { return w.order(state.BringZoneBack, zone) },
		},
		{Name: "straggler", Load: calmLoad, Begin: startStraggler, End: endStraggler},
		{Name: "killed entry", Load: calmLoad, Begin: killEntry, End: restartEntry},
		{Name: "frozen control leader", Load: calmLoad, Begin: freezeLeader, End: thawLeader},
	}
}

// stragglePercent is how long a straggler's requests take, in percent of the
// usual time.
const stragglePercent = 2000

// startStraggler slows one backend server of the first service down.
func startStraggler(w *World) error {
	script := w.backends[0].Script()
	script.StragglePercent = stragglePercent
	w.backends[0].SetScript(script)
	return nil
}

// endStraggler mends the slow backend server.
func endStraggler(w *World) error {
	script := w.backends[0].Script()
	script.StragglePercent = 0
	w.backends[0].SetScript(script)
	return nil
}

// killedEntry is the entry that is killed: the last one.
func (w *World) killedEntry() cluster.Process { return w.running.Entries[len(w.running.Entries)-1] }

// killEntry ends one entry at once.
func killEntry(w *World) error { return w.running.Kill(w.killedEntry().Name) }

// restartEntry starts the killed entry again.
func restartEntry(w *World) error { return w.running.Launch("entry", w.killedEntry()) }

// freezeLeader stops the control leader without ending it.
func freezeLeader(w *World) error {
	s, err := w.operators().Status()
	if err != nil {
		return errors.Wrap(err, "find the control leader")
	}
	w.frozen = s.Replica.Leader
	return w.running.Signal(w.frozen, syscall.SIGSTOP)
}

// thawLeader lets the frozen control process go on.
func thawLeader(w *World) error { return w.running.Signal(w.frozen, syscall.SIGCONT) }

// orderTimeout bounds the time in which a plan is made and accepted.
const orderTimeout = 20 * time.Second

// order states an intent and confirms its plan, again while control does not
// answer.
func (w *World) order(kind state.IntentKind, subject string) error {
	var last error
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(setupPause) {
		if last = w.tryOrder(kind, subject); last == nil {
			return nil
		}
	}
	return last
}

// tryOrder states an intent and confirms its plan once.
func (w *World) tryOrder(kind state.IntentKind, subject string) error {
	c := w.operators()
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
