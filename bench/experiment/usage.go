package experiment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor time in a process's statistics.
const ticksPerSecond = 100

// usage is the processor time of all processes of a role, in ticks.
type usage struct{ entries, controls float64 }

// usage reads the processor time of the processes that this program started.
func (w *World) usage() usage {
	var u usage
	for _, p := range w.running.Entries {
		u.entries += ticks(w.running.PID(p.Name))
	}
	for _, p := range w.running.Controls {
		u.controls += ticks(w.running.PID(p.Name))
	}
	return u
}

// since returns the cores used since an earlier reading. A process that ended
// in between counts for nothing.
func (u usage) since(before usage, took time.Duration) (entries, controls float64) {
	seconds := took.Seconds() * ticksPerSecond
	return max(u.entries-before.entries, 0) / seconds, max(u.controls-before.controls, 0) / seconds
}

// ticks returns the processor time of one process, or 0 if it has ended.
func ticks(pid int) float64 {
	if pid == 0 {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const userTime, systemTime = 11, 12
	user, _ := strconv.ParseFloat(fields[userTime], 64)
	system, _ := strconv.ParseFloat(fields[systemTime], 64)
	return user + system
}
