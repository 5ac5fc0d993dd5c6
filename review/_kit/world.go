package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// regions maps the zones of the small deployment to their regions.
var regions = map[string]string{"za": "west", "zb": "west", "zc": "east"}

// The bounds of the deployment; they are those of the site khonkh-gate.
const (
	contactWindow   = 3 * time.Second
	applyBound      = 2 * time.Second
	outerBound      = 5 * time.Second
	evacuationBound = 5 * time.Second
)

// currentBuild is the build of the deploy file, and oldBuild that of the commit that
// review/build.sh names.
const (
	currentBuild = "target/tanagerbarrow"
	oldBuild     = "target/review-old/tanagerbarrow"
)

// gracePeriod is the time between SIGTERM and SIGKILL.
const gracePeriod = 6 * time.Second

// process is one program of the project, started with a command of the deploy file.
type process struct {
	name, role, zone, address string
	folder                    string
	command                   *exec.Cmd
	done                      chan struct{}

	mu sync.Mutex
	// ledAt is when the process last logged that its broker started, and stoppedAt
	// that it stopped.
	ledAt, stoppedAt time.Time
	// removed says that the machine is gone for good.
	removed bool
	// binary is the build that the process runs.
	binary string
}

// world is a small deployment on loopback addresses.
type world struct {
	folder    string
	port      int
	net       string
	mu        sync.Mutex
	processes []*process
	record    *record
	trouble   bool
	logs      *os.File
	stops     []func()
}

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	started time.Time
}

// say writes one line with the time since the start.
func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// errCannotRun is the panic of a case that could not run.
type errCannotRun struct{ reason string }

// cannotRun ends the case with exit code 2.
func cannotRun(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

// newWorld finds free addresses and ports and opens the record.
func newWorld(recordPath string) *world {
	out, err := os.Create(recordPath)
	if err != nil {
		cannotRun("create the record: %v", err)
	}
	w := &world{
		record:  &record{out: bufio.NewWriter(out), started: time.Now()},
		trouble: os.Getenv("TROUBLE") != "0",
	}
	w.stops = append(w.stops, func() {
		_ = w.record.out.Flush()
		_ = out.Close()
	})
	if w.folder, err = os.MkdirTemp("", "tanagerbarrow-review-"); err != nil {
		cannotRun("create a folder: %v", err)
	}
	w.stops = append(w.stops, func() { _ = os.RemoveAll(w.folder) })
	if w.logs, err = os.Create(filepath.Join(w.folder, "logs.jsonl")); err != nil {
		cannotRun("create the log: %v", err)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		w.stops = append(w.stops, func() {
			data, _ := os.ReadFile(w.logs.Name())
			_ = os.WriteFile(keep, data, 0o600)
		})
	}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		w.port = 20000 + rand.IntN(8000)
		if w.addressesFree() {
			return w
		}
	}
	cannotRun("no free addresses")
	return nil
}

// addressesFree reports whether the ports of the deployment are free on one address.
func (w *world) addressesFree() bool {
	for offset := range 20 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s10:%d", w.net, w.port+offset))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addProcess adds a process that is not started yet.
func (w *world) addProcess(role, zone string) *process {
	n := 0
	for _, p := range w.processes {
		if p.role == role {
			n++
		}
	}
	first := map[string]int{"coordinator": 10, "gateway": 40}[role]
	p := &process{
		name: fmt.Sprintf("%s-%d", role, n), role: role, zone: zone, address: fmt.Sprintf("%s%d", w.net, first+n),
		binary: currentBuild,
	}
	p.folder = filepath.Join(w.folder, p.name)
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
		cannotRun("create a folder: %v", err)
	}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p
}

// ofRole returns the processes of a role whose machines are not gone for good.
func (w *world) ofRole(role string) []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*process
	for _, p := range w.processes {
		if p.role == role && !p.removed {
			all = append(all, p)
		}
	}
	return all
}

// remove kills a process whose machine is then gone for good.
func (w *world) remove(p *process) {
	w.signal(p, syscall.SIGKILL)
	<-p.done
	w.mu.Lock()
	p.removed = true
	w.mu.Unlock()
}

// roll stops a process as the platform does and starts it again with a build.
func (w *world) roll(p *process, binary string) {
	w.signal(p, syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(gracePeriod):
		w.signal(p, syscall.SIGKILL)
		<-p.done
	}
	p.binary = binary
	w.start(p, false)
}

// updateSettings writes the settings of a process anew and sends it SIGHUP.
func (w *world) updateSettings(p *process) {
	w.writeSettings(p, false)
	w.signal(p, syscall.SIGHUP)
}

// writeSettings writes the settings file of a process and returns its path.
func (w *world) writeSettings(p *process, first bool) string {
	path := filepath.Join(p.folder, "settings.yaml")
	if err := os.WriteFile(path+".next", []byte(w.settings(p, first)), 0o600); err != nil {
		cannotRun("write the settings: %v", err)
	}
	if err := os.Rename(path+".next", path); err != nil {
		cannotRun("write the settings: %v", err)
	}
	return path
}

// control, front and readiness return addresses of a process.
func (w *world) control(p *process) string   { return fmt.Sprintf("%s:%d", p.address, w.port+1) }
func (w *world) front(p *process) string     { return fmt.Sprintf("%s:%d", p.address, w.port+2) }
func (w *world) readiness(p *process) string { return fmt.Sprintf("%s:%d", p.address, w.port+3) }

// settings returns the settings file of a process.
func (w *world) settings(p *process, first bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName: %q\nrole: %q\nipAddress: %q\nzone: %q\nregion: %q\nzones:\n", p.name, p.role, p.address, p.zone, regions[p.zone])
	for zone, region := range regions {
		fmt.Fprintf(&b, "  %s: %q\n", zone, region)
	}
	b.WriteString("listenAddresses:\n")
	data, memory := "null", 284
	if p.role == "coordinator" {
		fmt.Fprintf(&b, "  control: %q\n", w.control(p))
		data, memory = fmt.Sprintf("%q", filepath.Join(p.folder, "data")), 280
	} else {
		fmt.Fprintf(&b, "  front: %q\n  readinessAddress: %q\n", w.front(p), w.readiness(p))
	}
	fmt.Fprintf(&b, "internalPortRange:\n  - %d\n  - %d\nseeds:\n", w.port+4, w.port+19)
	for _, c := range w.ofRole("coordinator")[:3] {
		fmt.Fprintf(&b, "  - %q\n", w.control(c))
	}
	fmt.Fprintf(&b, "bootstrap: %v\ncountsTowardTolerance: %v\n", first, p.role == "coordinator")
	fmt.Fprintf(&b, "limits:\n  cpuShare: 0.32\n  cores: 1\n  memoryMb: %d\n  fdLimit: 4100\n  linkBandwidthMbps: 1000.0\n  diskMb: 256\n", memory)
	fmt.Fprintf(&b, "dataDirectory: %s\ndiscovery: \"registration\"\nentry: \"virtual_ip\"\nheartbeatIntervalMs: 1500\n", data)
	b.WriteString("faultTolerance:\n  machines: 2\n  zones: 1\n  regions: 1\nbounds:\n")
	for _, bound := range []string{
		"seedLagS=3", "addressReuseS=2", "contactWindowMs=3000", "ackTimeoutMs=4000", "catchUpS=4", "drainMs=2000",
		"gracePeriodS=6", "lossSlackMs=200", "configApplyMs=2000", "rollbackSlackMs=250", "outerBoundMs=5000",
		"retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=64", "coldRateFactor=1.5", "coldSlack=5",
		"evacuationBoundMs=5000", "recoveryS=15", "probesPerS=60",
	} {
		fmt.Fprintf(&b, "  - %q\n", bound)
	}
	b.WriteString("configurationMode: \"highest\"\n")
	return b.String()
}

// start starts a process.
func (w *world) start(p *process, first bool) {
	path := w.writeSettings(p, first)
	c := exec.Command(p.binary, p.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERBARROW_NODE_FILE=" + path}
	c.Stderr = w.logs
	out, err := c.StdoutPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		cannotRun("start %s: %v", p.name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = c, done
	p.mu.Unlock()
	w.record.say("%s starts, %s", p.name, p.binary)
	go func() {
		p.readLog(out, w.logs)
		_ = c.Wait()
		close(done)
	}()
}

// readLog copies the log of a process and notes when it leads.
func (p *process) readLog(in io.Reader, out io.Writer) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, _ = fmt.Fprintf(out, "%s\n", lines.Bytes())
		var line struct {
			Event string `json:"event"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		p.mu.Lock()
		switch line.Event {
		case "broker_started":
			p.ledAt = time.Now()
		case "broker_stopped":
			p.stoppedAt = time.Now()
		}
		p.mu.Unlock()
	}
}

// leads reports whether the process runs the broker, by its log.
func (p *process) leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledAt.After(p.stoppedAt)
}

// signal sends a signal to a process that this case started.
func (w *world) signal(p *process, s syscall.Signal) {
	w.record.say("%s gets %s", p.name, s)
	if err := p.command.Process.Signal(s); err != nil {
		w.record.say("signal to %s: %v", p.name, err)
	}
}

// close ends all processes and removes the folder.
func (w *world) close() {
	for _, p := range w.processes {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
	for i := len(w.stops) - 1; i >= 0; i-- {
		w.stops[i]()
	}
}

// startAll starts all processes and waits until a coordinator leads, the operator's
// configuration is acknowledged and all gateways are ready.
func (w *world) startAll(o *operator, configuration string) {
	for _, p := range w.processes {
		w.start(p, true)
	}
	if !o.send("configuration.put", "", configuration, 30*time.Second) {
		cannotRun("the first configuration was not acknowledged")
	}
	for _, p := range w.ofRole("gateway") {
		if !w.awaitReady(p, 20*time.Second) {
			cannotRun("%s is not ready", p.name)
		}
	}
}

// awaitReady waits until a gateway says that it is ready.
func (w *world) awaitReady(p *process, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		res, err := client.Get("http://" + w.readiness(p) + "/tanagerbarrow/readiness")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
