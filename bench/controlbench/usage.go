package controlbench

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/operator"
	"tanagerbarrow/state"
)

// ticksPerSecond is the number of clock ticks per second, the unit of processor
// time in /proc/PID/stat.
const ticksPerSecond = 100

// Usage is the resource usage of control processes, averaged over the processes.
type Usage struct {
	// BytesPerSecond is the number of bytes sent to and received from other
	// processes per second, without the overhead of TCP.
	BytesPerSecond float64
	// Cores is the processor time, in cores.
	Cores float64
	// MemoryBytes is the resident memory of the largest process.
	MemoryBytes float64
	// Changes is the number of changes made during the measurement.
	Changes int
}

// MeasureUsage measures control processes without entries for the given duration,
// making one change after each pause; with a pause of zero it makes none.
func MeasureUsage(binary string, voters int, duration, pause time.Duration) (Usage, error) {
	var u Usage
	folder, err := os.MkdirTemp("", "tanagerbarrow-controlbench-")
	if err != nil {
		return u, errors.Wrap(err, "create the folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	running, err := startControls(binary, folder, voters)
	if err != nil {
		return u, err
	}
	defer running.Stop()
	before, err := readCounters(running)
	if err != nil {
		return u, err
	}
	begin := time.Now()
	if u.Changes, err = makeChanges(running, duration, pause); err != nil {
		return u, err
	}
	after, err := readCounters(running)
	took := time.Since(begin).Seconds()
	u.BytesPerSecond = 2 * (after.bytes - before.bytes) / float64(voters) / took
	u.Cores = (after.ticks - before.ticks) / ticksPerSecond / float64(voters) / took
	u.MemoryBytes = after.memory
	return u, err
}

// makeChanges pins a client account after each pause until the duration is over
// and returns the number of changes.
func makeChanges(r *cluster.RunningSystem, duration, pause time.Duration) (int, error) {
	end := time.Now().Add(duration)
	if pause == 0 {
		time.Sleep(duration)
		return 0, nil
	}
	client := operator.NewClient("http://"+r.Controls[0].Operator.String(), cluster.OperatorKey)
	changes := 0
	for ; time.Now().Add(pause).Before(end); changes++ {
		time.Sleep(pause)
		i := state.Intent{Kind: state.PinAccount, Subject: fmt.Sprint(changes), Regions: []string{"north"}}
		p, err := client.Plan(i)
		if err != nil {
			return changes, err
		}
		a, err := client.Confirm(p.ID, operator.Confirmation{Operator: "bench", Digest: p.Digest})
		if err != nil || !a.Accepted {
			return changes, errors.CombineErrors(err, errors.Newf("change was not accepted: %+v", a))
		}
	}
	time.Sleep(time.Until(end))
	return changes, nil
}

// processCounters holds the cumulative bytes and processor ticks of all processes
// and the memory of the largest, in bytes.
type processCounters struct{ bytes, ticks, memory float64 }

// readCounters reads the counters of all processes.
func readCounters(r *cluster.RunningSystem) (processCounters, error) {
	var sum processCounters
	for _, p := range r.Controls {
		bytes, err := servedBytes(p)
		if err != nil {
			return sum, err
		}
		sum.bytes += bytes
		sum.ticks += cpuTicks(r.PID(p.Name))
		sum.memory = max(sum.memory, residentBytes(r.PID(p.Name)))
	}
	return sum, nil
}

// servedBytes returns the bytes on the connections that a process accepted. Those
// on connections that it opened are counted by the other process.
func servedBytes(p cluster.Process) (float64, error) {
	q, err := http.NewRequest(http.MethodGet, "http://"+p.Operator.String()+"/v1/metrics", nil)
	if err != nil {
		return 0, err
	}
	q.Header.Set("Authorization", "Bearer "+cluster.OperatorKey)
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, errors.Wrapf(err, "read the metrics of %q", p.Name)
	}
	defer func() { _ = res.Body.Close() }()
	sum := 0.0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok && strings.HasPrefix(name, "tanagerbarrow_peer_served_bytes_total") {
			n, _ := strconv.ParseFloat(value, 64)
			sum += n
		}
	}
	return sum, lines.Err()
}

// cpuTicks returns the processor time of a process, in clock ticks, or 0 if it has
// ended.
func cpuTicks(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const userTime, systemTime = 11, 12
	if len(fields) <= systemTime {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[userTime], 64)
	system, _ := strconv.ParseFloat(fields[systemTime], 64)
	return user + system
}

// residentBytes returns the resident memory of a process, in bytes, or 0 if it has
// ended.
func residentBytes(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}
