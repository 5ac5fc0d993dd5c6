package main

import (
	"bytes"
	"errors"
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

// The ports of each machine. They are free on the loopback addresses that newWorld draws.
const (
	controlPort   = 8544
	frontPort     = 8548
	readinessPort = 8542
	serverPort    = 8080
	peerPort      = 7540
	lastPeerPort  = 7555
)

// world is one play of a case.
type world struct {
	site            site
	folder, scratch string
	prefix          string
	started         time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closers   []func()
	closed    bool
}

// process is one process of the system.
type process struct {
	name, role, zone, address string
	settings, data            string
	command                   *exec.Cmd
	ended                     chan struct{}
}

// newWorld draws loopback addresses that nothing uses and opens the record.
func newWorld(at site, folder string) (*world, error) {
	if _, err := os.Stat("target/tanagerbarrow"); err != nil {
		return nil, errors.New("target/tanagerbarrow is missing: run the build of the deploy file")
	}
	scratch, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{site: at, folder: folder, scratch: scratch, record: record, started: time.Now()}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if portsFree(w.prefix) {
			return w, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// portsFree reports whether the ports of the first control host and entry are free.
func portsFree(prefix string) bool {
	for _, at := range []string{
		fmt.Sprint(prefix, 10, ":", controlPort), fmt.Sprint(prefix, 30, ":", frontPort), fmt.Sprint(prefix, 30, ":", readinessPort),
		fmt.Sprint(prefix, 10, ":", peerPort), fmt.Sprint(prefix, 10, ":", lastPeerPort), fmt.Sprint(prefix, 100, ":", serverPort),
	} {
		l, err := net.Listen("tcp", at)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// note writes a line to the record, with the time since the start of the case in seconds.
func (w *world) note(format string, args ...any) { w.noteAt(time.Now(), format, args...) }

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record != nil {
		fmt.Fprintf(w.record, "%8.3f %s\n", at.Sub(w.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// onClose adds what ends with the case.
func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all processes that the case has started, by their identifiers.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	processes, closers := w.processes, w.closers
	w.mu.Unlock()
	for _, f := range closers {
		f()
	}
	for _, p := range processes {
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
	w.mu.Lock()
	_ = w.record.Close()
	w.record = nil
	w.mu.Unlock()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", w.scratch)
		return
	}
	_ = os.RemoveAll(w.scratch)
}

// coordinator adds the control host of a zone.
func (w *world) coordinator(n int) *process {
	p := &process{
		name: "core-" + w.zone(n) + "-1", role: "coordinator", zone: w.zone(n), address: fmt.Sprint(w.prefix, 10+n),
		data: filepath.Join(w.scratch, "data-"+w.zone(n)),
	}
	return w.add(p)
}

// gateway adds an entry in a zone.
func (w *world) gateway(n int, zone string) *process {
	return w.add(&process{name: fmt.Sprint("front-", zone, "-", n+1), role: "gateway", zone: zone, address: fmt.Sprint(w.prefix, 30+n)})
}

func (w *world) add(p *process) *process {
	p.settings = filepath.Join(w.scratch, p.name+".yaml")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes = append(w.processes, p)
	return p
}

// settingsOf returns the settings of a process as the platform writes them.
func (w *world) settingsOf(p *process, bootstrap bool) string {
	var b strings.Builder
	class, serves, limits, data := "front", "front", w.site.front, "null"
	listen := fmt.Sprintf("  front: %q\n  readinessAddress: %q\n",
		fmt.Sprint(p.address, ":", frontPort), fmt.Sprint(p.address, ":", readinessPort))
	if p.role == "coordinator" {
		class, serves, limits, data = "core", "control", w.site.core, fmt.Sprintf("%q", p.data)
		listen = fmt.Sprintf("  control: %q\n", fmt.Sprint(p.address, ":", controlPort))
	}
	fmt.Fprintf(&b, "nodeName: %q\nrole: %q\nmachineClass: %q\nserves:\n  - %q\nipAddress: %q\nzone: %q\nregion: %q\nzones:\n",
		p.name, p.role, class, serves, p.address, p.zone, w.region(p.zone))
	for _, z := range w.site.zones {
		fmt.Fprintf(&b, "  %s: %q\n", z.name, z.region)
	}
	fmt.Fprintf(&b, "listenAddresses:\n%sinternalPortRange:\n  - %d\n  - %d\nseeds:\n", listen, peerPort, lastPeerPort)
	for n := range 3 {
		fmt.Fprintf(&b, "  - %q\n", w.control(n))
	}
	fmt.Fprintf(&b, "bootstrap: %v\ncountsTowardTolerance: %v\n%sdataDirectory: %s\ndiscovery: \"registration\"\nentry: \"virtual_ip\"\n"+
		"heartbeatIntervalMs: 1500\ncontracts:\n", bootstrap, p.role == "coordinator", limits, data)
	for _, c := range w.site.contracts {
		fmt.Fprintf(&b, "  - %q\n", c)
	}
	b.WriteString("faultTolerance:\n  machines: 2\n  zones: 1\n  regions: 1\nbounds:\n")
	for _, bound := range w.site.bounds {
		fmt.Fprintf(&b, "  - %q\n", bound)
	}
	b.WriteString("configurationMode: \"highest\"\n")
	return b.String()
}

// start writes the settings of a process and starts it with the command of the deploy file.
func (w *world) start(p *process, bootstrap bool) error {
	if p.data != "" {
		if err := os.MkdirAll(p.data, 0o700); err != nil {
			return err
		}
	}
	if err := os.WriteFile(p.settings, []byte(w.settingsOf(p, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.scratch, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/tanagerbarrow", p.role)
	c.Env = append(os.Environ(), "TANAGERBARROW_NODE_FILE="+p.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	_ = log.Close()
	ended := make(chan struct{})
	w.mu.Lock()
	p.command, p.ended = c, ended
	w.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	w.note("start %s at %s, process %d", p.name, p.address, c.Process.Pid)
	return nil
}

// signal sends a signal to a process of the case.
func (w *world) signal(p *process, s syscall.Signal) {
	w.note("signal %s to %s", s, p.name)
	_ = p.command.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// startAll starts five control hosts and entries in the given zones, all at the same time.
func (w *world) startAll(entryZones ...string) (entries []*process, err error) {
	for n := range controlHosts {
		if err := w.start(w.coordinator(n), true); err != nil {
			return nil, err
		}
	}
	for n, zone := range entryZones {
		p := w.gateway(n, zone)
		if err := w.start(p, true); err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	return entries, nil
}

// control returns the address of the nth control host.
func (w *world) control(n int) string {
	return fmt.Sprint(w.prefix, 10+n%controlHosts, ":", controlPort)
}

// caller calls control hosts as operators and backend servers do: it follows a redirect twice and
// waits for a second.
var caller = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirects")
		}
		return nil
	},
}

// call sends one call and returns the status and the body.
func call(address, query string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/tanagerbarrow/rpc?"+query, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := caller.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	return res.StatusCode, content, err
}

// order sends an order of the operator to one control host after the other until it is
// acknowledged, and returns the time of the acknowledgement.
func (w *world) order(query string, body []byte, within time.Duration) (time.Time, error) {
	last := errors.New("no try")
	for n, until := 0, time.Now().Add(within); time.Now().Before(until); n++ {
		status, _, err := call(w.control(n), query, body)
		switch {
		case err == nil && status == http.StatusOK:
			w.note("order %s acknowledged by %s", query, w.control(n))
			return time.Now(), nil
		case err != nil:
			last = err
		default:
			last = fmt.Errorf("status %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("order %s: %w", query, last)
}

// ready waits until the readiness probe of an entry succeeds.
func (w *world) ready(p *process, within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := caller.Get(fmt.Sprint("http://", p.address, ":", readinessPort, "/tanagerbarrow/readiness"))
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// routeText returns a route of a configuration.
func routeText(name, prefix, kind, service string, timeout time.Duration) string {
	return fmt.Sprintf(`{"name":%q,"host":"jepu9.example","pathPrefix":%q,"kind":%q,"timeoutMs":%d,"targetLatencyMs":600,"priority":1,"service":%q,"attempts":2,"allowedRegions":[]}`,
		name, prefix, kind, timeout.Milliseconds(), service)
}

// serviceText returns a service of a configuration.
func serviceText(name string) string {
	return fmt.Sprintf(`{"name":%q,"healthCheckPath":"/health","connectionLimit":260,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":2.5}`, name)
}

// configurationText returns a configuration.
func configurationText(version int, routes, services []string) []byte {
	return []byte(fmt.Sprintf(`{"version":"r%d","routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ",")))
}
