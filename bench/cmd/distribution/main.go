// Command distribution runs a system of separate processes on loopback and measures
// how long an accepted configuration change takes until every entry has applied it,
// and the network and processor usage of the distribution at rest and under changes.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// The timeouts and periods of a measurement, and the target rate of changes.
const (
	startTimeout = 30 * time.Second
	pollPeriod   = 2 * time.Millisecond
	// clockTickSeconds is the unit of processor time in /proc, in seconds.
	clockTickSeconds = 0.01
	// changesPerDay is the target rate of configuration changes.
	changesPerDay = 6700
	secondsPerDay = 86400
)

// options holds the flags of the command.
type options struct {
	binary            string
	controls, entries int
	services, changes int
	rest, pause       time.Duration
}

func main() {
	var o options
	app := kingpin.New("distribution", "Measure the distribution of configurations.")
	app.Flag("binary", "Path of the daemon.").Default("bin/tanagerbarrow").StringVar(&o.binary)
	app.Flag("controls", "Number of control processes.").Default("1").IntVar(&o.controls)
	app.Flag("entries", "Number of entry processes.").Default("18").IntVar(&o.entries)
	app.Flag("services", "Number of admitted services.").Default("320").IntVar(&o.services)
	app.Flag("changes", "Number of measured changes.").Default("30").IntVar(&o.changes)
	app.Flag("rest", "Time of the measurement at rest.").Default("15s").DurationVar(&o.rest)
	app.Flag("gap", "Time between two changes.").Default("500ms").DurationVar(&o.pause)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := o.measure(); err != nil {
		fmt.Fprintln(os.Stderr, "distribution:", err)
		os.Exit(1)
	}
}

// measure starts the system, runs the measurements and prints the results.
func (o *options) measure() error {
	folder, err := os.MkdirTemp("", "tanagerbarrow-distribution-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	written, err := cluster.WriteSettings(folder, cluster.Size{
		Controls: o.controls, Entries: o.entries,
		Zones: map[string]string{"a": "north", "b": "north", "c": "south", "d": "south"}, ZoneOrder: []string{"a", "b", "c", "d"},
	})
	if err != nil {
		return err
	}
	binary, err := filepath.Abs(o.binary)
	if err != nil {
		return err
	}
	running, err := cluster.Start(binary, written)
	if err != nil {
		return err
	}
	defer running.Stop()
	var otherControls []string
	for _, p := range written.Controls[1:] {
		otherControls = append(otherControls, "http://"+p.Operator.String())
	}
	m := &meter{running: running, client: operator.NewClient("http://"+written.Controls[0].Operator.String(), cluster.OperatorKey, otherControls...)}
	return m.run(o)
}

// meter measures a running system.
type meter struct {
	running *cluster.RunningSystem
	client  *operator.Client
}

// pinAccountIntent returns the intent of one measured change.
func pinAccountIntent(i int) state.Intent {
	return state.Intent{Kind: state.PinAccount, Subject: fmt.Sprintf("account-%d", i), Regions: []string{"north"}}
}

// run measures the usage at rest, the latency of changes, and the usage of as many
// changes again. The last measurement is separate because the latency measurement
// polls the status, which adds to the usage.
func (m *meter) run(o *options) error {
	if err := m.prepare(o.services); err != nil {
		return err
	}
	atRest, err := m.measureCost(func() error {
		time.Sleep(o.rest)
		return nil
	})
	if err != nil {
		return err
	}
	var latencies []time.Duration
	for i := range o.changes {
		time.Sleep(o.pause)
		d, err := m.measureChange(pinAccountIntent(i))
		if err != nil {
			return err
		}
		latencies = append(latencies, d)
	}
	underChanges, err := m.measureCost(func() error {
		for i := range o.changes {
			time.Sleep(o.pause)
			if _, err := m.confirmIntent(pinAccountIntent(o.changes + i)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	m.print(o, atRest, underChanges, latencies)
	return nil
}

// prepare admits the services and waits until every entry has applied them.
func (m *meter) prepare(services int) error {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(100 * time.Millisecond) {
		if _, err := m.client.Configuration(); err == nil {
			break
		} else if time.Now().After(deadline) {
			return errors.Wrap(err, "wait for a control process")
		}
	}
	for i := range services {
		if _, err := m.confirmIntent(state.Intent{Kind: state.AdmitService, Subject: fmt.Sprintf("service-%d", i)}); err != nil {
			return err
		}
	}
	_, err := m.waitInForce(uint64(services))
	return err
}

// confirmIntent plans and confirms an intent, and returns the version of the
// configuration that contains it.
func (m *meter) confirmIntent(i state.Intent) (uint64, error) {
	p, err := m.client.Plan(i)
	if err != nil {
		return 0, err
	}
	a, err := m.client.Confirm(p.ID, operator.Confirmation{Operator: "bench", Digest: p.Digest})
	if err != nil || !a.Accepted {
		return 0, errors.CombineErrors(err, errors.Newf("intent %+v: refusal %q, answer %+v", i, p.Refusal, a))
	}
	return a.Version, nil
}

// measureChange confirms an intent and returns the time from the answer to the
// confirmation until the status shows the version on every entry.
func (m *meter) measureChange(i state.Intent) (time.Duration, error) {
	version, err := m.confirmIntent(i)
	if err != nil {
		return 0, err
	}
	return m.waitInForce(version)
}

// waitInForce waits until the status shows the version, or a later one, on every
// entry, and returns how long that took.
func (m *meter) waitInForce(version uint64) (time.Duration, error) {
	begin := time.Now()
	for time.Since(begin) < startTimeout {
		s, err := m.client.Status()
		if err != nil {
			return 0, err
		}
		if !slices.ContainsFunc(s.Entries, func(h operator.HostStatus) bool { return !h.Seen || h.Version < version }) {
			return time.Since(begin), nil
		}
		time.Sleep(pollPeriod)
	}
	return 0, errors.Newf("version %d is not in force on every entry after %s", version, startTimeout)
}

// cost is the resource usage over a period of time: the bytes on the peer channels
// and the processor time in seconds.
type cost struct {
	seconds              float64
	peerBytes            float64
	controlCPU, entryCPU float64
}

// measureCost returns the resource usage during an action.
func (m *meter) measureCost(action func() error) (cost, error) {
	bytes, err := m.peerBytes()
	if err != nil {
		return cost{}, err
	}
	control, entry := m.processorSeconds(m.running.Controls), m.processorSeconds(m.running.Entries)
	begin := time.Now()
	if err := action(); err != nil {
		return cost{}, err
	}
	c := cost{seconds: time.Since(begin).Seconds()}
	c.controlCPU = m.processorSeconds(m.running.Controls) - control
	c.entryCPU = m.processorSeconds(m.running.Entries) - entry
	after, err := m.peerBytes()
	c.peerBytes = after - bytes
	return c, err
}

// peerBytes returns the total bytes sent and received so far on the peer channels of
// all control processes.
func (m *meter) peerBytes() (float64, error) {
	sum := 0.0
	for _, p := range m.running.Controls {
		r, err := http.NewRequest(http.MethodGet, "http://"+p.Operator.String()+"/v1/metrics", http.NoBody)
		if err != nil {
			return 0, err
		}
		r.Header.Set("Authorization", "Bearer "+cluster.OperatorKey)
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, err
		}
		text, err := io.ReadAll(res.Body)
		if err := errors.CombineErrors(err, res.Body.Close()); err != nil {
			return 0, err
		}
		for _, line := range strings.Split(string(text), "\n") {
			if fields := strings.Fields(line); len(fields) == 2 && strings.HasPrefix(line, "tanagerbarrow_peer_served_bytes_total") {
				n, _ := strconv.ParseFloat(fields[1], 64)
				sum += n
			}
		}
	}
	return sum, nil
}

// processorSeconds returns the total processor time of the processes so far, in
// seconds.
func (m *meter) processorSeconds(processes []cluster.Process) float64 {
	sum := 0.0
	for _, p := range processes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.running.PID(p.Name)))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		sum += (user + system) * clockTickSeconds
	}
	return sum
}

// print prints the results.
func (m *meter) print(o *options, atRest, underChanges cost, latencies []time.Duration) {
	slices.Sort(latencies)
	quantile := func(q float64) time.Duration {
		return latencies[min(int(q*float64(len(latencies))), len(latencies)-1)].Round(100 * time.Microsecond)
	}
	fmt.Printf("%d control, %d entries, %d services, %d changes with %s between\n", o.controls, o.entries, o.services, o.changes, o.pause)
	fmt.Printf("accepted to in force on all entries, as status shows it: p50 %s, p90 %s, max %s\n", quantile(0.5), quantile(0.9), latencies[len(latencies)-1].Round(100*time.Microsecond))
	for _, row := range []struct {
		name string
		cost cost
	}{{"at rest", atRest}, {"under changes", underChanges}} {
		c := row.cost
		fmt.Printf("%-14s %8.0f B/s at each control, processor: control %.2f%%, entry %.2f%% of a core each\n", row.name,
			c.peerBytes/c.seconds/float64(o.controls), 100*c.controlCPU/c.seconds/float64(o.controls),
			100*c.entryCPU/c.seconds/float64(o.entries))
	}
	perChange := (underChanges.peerBytes - atRest.peerBytes/atRest.seconds*underChanges.seconds) / float64(o.changes)
	rate := float64(changesPerDay) / secondsPerDay
	fmt.Printf("one change costs %.0f B over all controls; at %d changes a day %.0f B/s at each control\n",
		perChange, changesPerDay, (atRest.peerBytes/atRest.seconds+perChange*rate)/float64(o.controls))
}
