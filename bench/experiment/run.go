package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/load"
)

// The time limits of a phase.
const (
	requestTimeout  = 5 * time.Second
	maxZoneOutDelay = 3 * time.Second
)

// Experiment configures the runs of an experiment.
type Experiment struct {
	// Binary is the path of the daemon.
	Binary string
	// Folder is the folder for the files of the runs.
	Folder string
	// PhaseLength is the duration of each phase.
	PhaseLength time.Duration
	// Progress receives the results of each phase as text.
	Progress io.Writer
	// Seed makes the arrivals reproducible.
	Seed uint64
	// Scale multiplies every rate, for machines smaller than the deployment.
	Scale float64
}

// Run runs all phases of a profile under a policy. settings is appended to every
// settings file.
func (e *Experiment) Run(ctx context.Context, p Profile, policy, settings string) (Run, error) {
	result := Run{Profile: p.Name, Policy: policy}
	folder := filepath.Join(e.Folder, p.Name+"-"+policy)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return result, errors.Wrapf(err, "create folder %q", folder)
	}
	d, err := StartDeployment(e.Binary, folder, settings, p)
	if err != nil {
		return result, err
	}
	defer d.Stop()
	balancer := d.newBalancer()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go balancer.Run(ctx)
	for i, phase := range Phases(&p) {
		if ctx.Err() != nil {
			break
		}
		r, err := e.runPhase(ctx, d, balancer, fmt.Sprintf("%s%d", policy, i), phase)
		if err != nil {
			return result, errors.Wrapf(err, "phase %q of %s", phase.Name, p.Name)
		}
		result.Phases = append(result.Phases, r)
		e.printProgress(p.Name, policy, &r)
	}
	return result, nil
}

// runPhase injects the fault of a phase while it generates load, and returns the
// result of the phase.
func (e *Experiment) runPhase(ctx context.Context, d *Deployment, balancer *load.Balancer, name string, phase Phase) (PhaseResult, error) {
	rate := phase.Load * d.profile.Capacity() * e.Scale
	r := PhaseResult{Phase: phase.Name, Rate: rate, Kinds: map[string]*KindResult{}}
	g := &load.Generator{Balancer: balancer, Mix: d.profile.Mix, Rate: rate, Seed: e.Seed, Timeout: requestTimeout}
	before, start := d.readCPUUsage(), time.Now()
	begun := make(chan error, 1)
	confirmed := time.Now()
	go func() {
		var err error
		if phase.Begin != nil {
			err = phase.Begin(d)
			confirmed = time.Now()
		}
		begun <- err
	}()
	var outcomes []load.Outcome
	g.Run(ctx, name, e.PhaseLength, func(o load.Outcome) { outcomes = append(outcomes, o) })
	if err := <-begun; err != nil {
		return r, err
	}
	r.EntryCores, r.ControlCores = d.readCPUUsage().since(before, time.Since(start))
	for i := range outcomes {
		r.add(d, &outcomes[i])
	}
	for _, k := range r.Kinds {
		k.finish()
	}
	d.countLateWork(phase.ZoneOut, confirmed, &r)
	if phase.End == nil {
		return r, nil
	}
	return r, phase.End(d)
}

// add records one outcome.
func (r *PhaseResult) add(d *Deployment, o *load.Outcome) {
	k, ok := r.Kinds[o.Kind]
	if !ok {
		k = newKindResult()
		r.Kinds[o.Kind] = k
	}
	k.add(o)
	r.checkAgainstRecords(d, o)
}

// countLateWork counts the requests that arrived in the availability zone taken
// out too long after the confirmation, and sets the time of the last arrival there.
func (d *Deployment) countLateWork(zone string, confirmed time.Time, r *PhaseResult) {
	if zone == "" {
		return
	}
	for i, b := range d.backends {
		if d.backendZones[i] != zone {
			continue
		}
		for _, run := range b.Records() {
			after := run.Arrived.Sub(confirmed)
			r.LastWorkInZoneMillis = max(r.LastWorkInZoneMillis, float64(after.Microseconds())/1000)
			if after > maxZoneOutDelay {
				r.LateWorkInZone++
			}
		}
	}
}

// printProgress prints the result of one phase.
func (e *Experiment) printProgress(profile, policy string, r *PhaseResult) {
	for _, name := range []string{"read", "order", "upload"} {
		k, ok := r.Kinds[name]
		if !ok {
			continue
		}
		fmt.Fprintf(e.Progress, "%-12s %-12s %-22s %-7s sent %6d ok %6d p50 %7.1f p99 %8.1f p99.9 %8.1f ms %v\n",
			profile, policy, r.Phase, name, k.Sent, k.OK, k.P50, k.P99, k.P999, k.Failures)
	}
	fmt.Fprintf(e.Progress, "%-12s %-12s %-22s orders twice %d, wrong %d, untrue NotRun %d, late work in zone %d"+
		" (last after %.0f ms), entries %.2f cores, control %.2f cores\n", profile, policy, r.Phase,
		r.OrdersTwice, r.WrongAnswers, r.UntrueNotRun, r.LateWorkInZone, r.LastWorkInZoneMillis, r.EntryCores, r.ControlCores)
}
