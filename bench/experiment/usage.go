package experiment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second, the unit of processor
// time in /proc/PID/stat.
const ticksPerSecond = 100

// cpuUsage is the processor time of all processes of each role, in clock ticks.
type cpuUsage struct{ entries, controls float64 }

// readCPUUsage reads the processor time of the processes that this program started.
func (d *Deployment) readCPUUsage() cpuUsage {
	var u cpuUsage
	for _, p := range d.system.Entries {
		u.entries += cpuTicks(d.system.PID(p.Name))
	}
	for _, p := range d.system.Controls {
		u.controls += cpuTicks(d.system.PID(p.Name))
	}
	return u
}

// since returns the cores used since an earlier reading. The ticks of a process
// that ended in between are missing from the difference, which is never less than
// zero.
func (u cpuUsage) since(before cpuUsage, took time.Duration) (entries, controls float64) {
	seconds := took.Seconds() * ticksPerSecond
	return max(u.entries-before.entries, 0) / seconds, max(u.controls-before.controls, 0) / seconds
}

// cpuTicks returns the processor time of one process, in clock ticks, or 0 if it
// has ended.
func cpuTicks(pid int) float64 {
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
