package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory of a core machine on the sheet of khonkh-gate.
const memoryMB = 280

// process is one of the system's processes on a machine of its own loopback address.
type process struct {
	name, role, address, zone, data, settings string
	command                                   *exec.Cmd
	done                                      chan struct{}
	peakMB                                    int
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	folder, prefix, program string
	port                    int
	tolerated               int
	control, entries        []*process
	rec                     *record
	client                  *http.Client

	mu    sync.Mutex
	ended bool
}

// zones maps the availability zones to their regions.
var zones = [][2]string{{"tsetserleg", "arkhangai"}, {"chinggis", "khentii"}, {"dalanzadgad", "umnugovi"}, {"tariat", "arkhangai"}, {"binder", "khentii"}}

// newDeployment prepares a deployment that tolerates the loss of so many core machines.
func newDeployment(rec *record, program string, tolerated, entries int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, program: program, tolerated: tolerated, rec: rec}
	d.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for try := 0; ; try++ {
		d.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		d.port = 20000 + rand.IntN(300)*30
		if d.portsFree() {
			break
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	for n := range 2*tolerated + 1 {
		p := &process{name: fmt.Sprint("core-", n), role: "coordinator", address: fmt.Sprint(d.prefix, 10+n), zone: zones[n%len(zones)][0]}
		p.data = filepath.Join(folder, p.name)
		if err := os.Mkdir(p.data, 0o700); err != nil {
			return nil, err
		}
		d.control = append(d.control, p)
	}
	for n := range entries {
		d.entries = append(d.entries, &process{name: fmt.Sprint("front-", n), role: "gateway", address: fmt.Sprint(d.prefix, 40+n), zone: zones[n%len(zones)][0]})
	}
	return d, nil
}

// portsFree reports whether the ports of the first machine are free.
func (d *deployment) portsFree() bool {
	for _, port := range []int{d.controlPort(), d.frontPort(), d.readyPort(), d.port + 10, d.port + 25} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s10:%d", d.prefix, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) controlPort() int { return d.port + 1 }
func (d *deployment) frontPort() int   { return d.port + 2 }
func (d *deployment) readyPort() int   { return d.port + 3 }

// writeSettings writes the settings file of a process.
func (d *deployment) writeSettings(p *process, bootstrap bool) error {
	listen := fmt.Sprintf("  control: \"%s:%d\"\n", p.address, d.controlPort())
	data, class := fmt.Sprintf("%q", p.data), "core"
	if p.role == "gateway" {
		listen = fmt.Sprintf("  front: \"%s:%d\"\n  readinessAddress: \"%s:%d\"\n", p.address, d.frontPort(), p.address, d.readyPort())
		data, class = "null", "front"
	}
	var seeds, zoneLines strings.Builder
	for _, c := range d.control[:min(3, len(d.control))] {
		fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", c.address, d.controlPort())
	}
	region := ""
	for _, z := range zones {
		fmt.Fprintf(&zoneLines, "  %s: %q\n", z[0], z[1])
		if z[0] == p.zone {
			region = z[1]
		}
	}
	text := fmt.Sprintf(`nodeName: %q
role: %q
machineClass: %q
ipAddress: %q
zone: %q
region: %q
zones:
%slistenAddresses:
%sinternalPortRange:
  - %d
  - %d
seeds:
%sbootstrap: %v
countsTowardTolerance: %v
limits:
  cpuShare: 0.96
  cores: 1
  memoryMb: %d
  fdLimit: 4096
  linkBandwidthMbps: 1000.0
  diskMb: 256
dataDirectory: %s
discovery: "registration"
entry: "virtual_ip"
heartbeatIntervalMs: 1500
contracts: ["base", "drain", "config", "cost", "retry", "recover", "health", "places"]
faultTolerance:
  machines: %d
  zones: 1
  regions: 1
bounds: ["seedLagS=3", "addressReuseS=2", "contactWindowMs=3000", "ackTimeoutMs=4000", "catchUpS=4", "drainMs=2000", "gracePeriodS=6", "lossSlackMs=200", "configApplyMs=2000", "rollbackSlackMs=250", "outerBoundMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=64", "coldRateFactor=1.5", "coldSlack=5", "evacuationBoundMs=5000", "recoveryS=15", "probesPerS=60"]
configurationMode: "highest"
`, p.name, p.role, class, p.address, p.zone, region, zoneLines.String(), listen, d.port+10, d.port+25, seeds.String(), bootstrap, p.role == "coordinator", memoryMB, data, d.tolerated)
	p.settings = filepath.Join(d.folder, p.name+".yaml")
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts a process.
func (d *deployment) start(p *process, bootstrap bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return nil
	}
	if err := d.writeSettings(p, bootstrap); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(d.program, p.role)
	c.Env = append(os.Environ(), "TANAGERBARROW_NODE_FILE="+p.settings)
	c.Stdout, c.Stderr = logs, logs
	if err := c.Start(); err != nil {
		return err
	}
	_ = logs.Close()
	done := make(chan struct{})
	p.command, p.done = c, done
	go func() {
		_ = c.Wait()
		close(done)
	}()
	return nil
}

// startAll starts all processes for the first time. They end with this one, also if it is interrupted.
func (d *deployment) startAll() error {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(2)
	}()
	for _, p := range append(append([]*process{}, d.control...), d.entries...) {
		if err := d.start(p, true); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	for _, p := range append(append([]*process{}, d.control...), d.entries...) {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
	_ = os.RemoveAll(d.folder)
}

// call makes a call of the control API at one host and returns status and body; status 0 without an answer.
func (d *deployment) call(p *process, query string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/tanagerbarrow/rpc?call=%s", p.address, d.controlPort(), query), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := d.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// callAny repeats a call at one host after the other until it is acknowledged or the time is over.
func (d *deployment) callAny(query string, body []byte, limit time.Duration) bool {
	pause := 100 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		p := d.control[rand.IntN(len(d.control))]
		status, _ := d.call(p, query, body)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(pause)
		pause = min(pause*3/2, time.Second)
	}
	return false
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range d.entries {
			res, err := d.client.Get(fmt.Sprintf("http://%s:%d/tanagerbarrow/readiness", p.address, d.readyPort()))
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.entries) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d gateways are ready", ready, len(d.entries))
		}
	}
}

// rssMB returns the resident memory of a process in MB; 0 if it has ended.
func (p *process) rssMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{out: f, began: time.Now()}, err
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// mustJSON encodes a value.
func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
