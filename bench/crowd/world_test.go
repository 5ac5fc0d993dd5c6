package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The limits of each process in its settings file. The platform reserves some of the
// descriptors for itself.
const (
	memoryMB            = 96
	descriptorLimit     = 600
	reservedDescriptors = 200
)

// The ports of the processes; each has an address of its own.
const (
	frontPort, readinessPort, controlPort = 23001, 23002, 23003
	peerPort, metricsPort                 = 23010, 23011
)

// eventTimeout bounds the wait for an event, such as the answer to an ordinary request.
const eventTimeout = 30 * time.Second

// program is the path of the program under test.
var program string

// TestMain builds the program.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "crowd")
	if err == nil {
		program = filepath.Join(folder, "tanagerbarrow")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, "tanagerbarrow/cmd/tanagerbarrow").CombinedOutput(); err != nil {
			fmt.Fprintln(os.Stderr, string(out))
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one process of the system.
type process struct {
	name, address string
	command       *exec.Cmd
	ended         chan struct{}
	// peakKB and peakDescriptors are the highest values seen.
	peakKB, peakDescriptors int
}

// world is one control host, one entry and one backend server.
type world struct {
	t                   *testing.T
	folder              string
	coordinator, entry  *process
	backend             *http.Server
	backendAddress      string
	sequence, requestID atomic.Uint64
	stop                chan struct{}
	background          sync.WaitGroup
	client              *http.Client
}

// worlds counts the worlds of this process, so that each has addresses of its own.
var worlds atomic.Uint64

// newWorld starts a system and waits until it serves an ordinary request.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, folder: t.TempDir(), stop: make(chan struct{})}
	w.client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	prefix := fmt.Sprintf("127.%d.%d.", 120+os.Getpid()%100, 1+worlds.Add(1)%250)
	w.coordinator = &process{name: "core-1", address: prefix + "10"}
	w.entry = &process{name: "entry-1", address: prefix + "30"}
	w.startBackend()
	w.start(w.coordinator, "coordinator")
	w.start(w.entry, "gateway")
	t.Cleanup(w.end)
	w.await("the first configuration is acknowledged", func() bool { return w.call("configuration.put", configuration) })
	w.run(w.heartbeats)
	w.await("an ordinary request is served", func() bool { return w.ordinary(http.MethodGet) && w.ordinary(http.MethodPost) })
	w.run(w.watch)
	return w
}

// configuration is the document in force. The timeout of its routes is the longest legal
// one, so that it ends no caller's request during a test.
const configuration = `{"version":"r1","routes":[
{"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe","timeoutMs":600000,"targetLatencyMs":300,"priority":2,"service":"s","attempts":2},
{"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe","timeoutMs":600000,"targetLatencyMs":300,"priority":1,"service":"s","attempts":2}],
"services":[{"name":"s","healthCheckPath":"/health","connectionLimit":1000,"coldStartS":1,"coldPerS":500}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// settings returns the settings file of a process.
func (w *world) settings(p *process, role string) string {
	listen, data := fmt.Sprintf("front: %q, readinessAddress: %q", join(p.address, frontPort), join(p.address, readinessPort)), ""
	if role == "coordinator" {
		listen, data = fmt.Sprintf("control: %q", join(p.address, controlPort)), filepath.Join(w.folder, p.name)
		_ = os.Mkdir(data, 0o700)
	}
	return fmt.Sprintf(`nodeName: %q
ipAddress: %q
zone: "a"
region: "west"
zones: {a: west}
listenAddresses: {%s}
internalPortRange: [%d, %d]
seeds: [%q]
bootstrap: true
limits: {memoryMb: %d, fdLimit: %d}
dataDirectory: %q
heartbeatIntervalMs: 500
faultTolerance: {machines: 0}
bounds: ["drainMs=2000", "gracePeriodS=6", "retryBudgetRatio=0.2", "budgetExtraRetries=60", "budgetWindowS=10", "probesPerS=60"]
`, p.name, p.address, listen, peerPort, metricsPort, join(w.coordinator.address, controlPort), memoryMB, descriptorLimit, data)
}

// join returns an address with its port.
func join(address string, port int) string { return fmt.Sprintf("%s:%d", address, port) }

// start starts a process.
func (w *world) start(p *process, role string) {
	file := filepath.Join(w.folder, p.name+".yaml")
	if err := os.WriteFile(file, []byte(w.settings(p, role)), 0o600); err != nil {
		w.t.Fatal(err)
	}
	out, err := os.Create(filepath.Join(w.folder, p.name+".log"))
	if err != nil {
		w.t.Fatal(err)
	}
	p.command = exec.Command(program, role)
	p.command.Env = append(os.Environ(), "TANAGERBARROW_NODE_FILE="+file)
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		w.t.Fatal(err)
	}
	p.ended = make(chan struct{})
	go func() {
		_ = p.command.Wait()
		_ = out.Close()
		close(p.ended)
	}()
}

// run runs f in the background until the world ends.
func (w *world) run(f func()) {
	w.background.Add(1)
	go func() {
		defer w.background.Done()
		f()
	}()
}

// end stops everything.
func (w *world) end() {
	close(w.stop)
	w.background.Wait()
	for _, p := range []*process{w.entry, w.coordinator} {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
		if text, _ := os.ReadFile(filepath.Join(w.folder, p.name+".log")); w.t.Failed() {
			w.t.Logf("last lines of %s:\n%s", p.name, text[max(0, len(text)-400):])
		}
	}
	_ = w.backend.Close()
}

// await waits until done returns true.
func (w *world) await(what string, done func() bool) {
	w.t.Helper()
	w.awaitUntil(time.Now().Add(eventTimeout), what, done)
}

// awaitUntil is await with an end of the wait.
func (w *world) awaitUntil(end time.Time, what string, done func() bool) {
	w.t.Helper()
	for ; !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Errorf("not so within %s: %s", eventTimeout, what)
			return
		}
	}
}

// startBackend starts the backend server. It answers /PREFIX/N with N bytes.
func (w *world) startBackend() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.backendAddress = listener.Addr().String()
	w.backend = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		size := 0
		_, _ = fmt.Sscanf(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], "%d", &size)
		_, _ = io.Copy(io.Discard, r.Body)
		rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		rw.Header().Set("Instance-Id", "i-1")
		_, _ = rw.Write(bytes.Repeat([]byte("x"), size))
	})}
	go func() { _ = w.backend.Serve(listener) }()
}

// heartbeats announces the backend server.
func (w *world) heartbeats() {
	for {
		w.call("instances.heartbeat&of=i-1", fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"a","version":"v1","slots":200,"state":"ready","coldRemainingMs":0,"sequence":%d}`,
			w.backendAddress, w.sequence.Add(1)))
		select {
		case <-w.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// call calls the control host and reports whether it acknowledged the call.
func (w *world) call(query, body string) bool {
	res, err := w.client.Post("http://"+join(w.coordinator.address, controlPort)+"/tanagerbarrow/rpc?call="+query,
		"application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

// ordinary sends one ordinary request on a new connection and reports whether it was
// served. A GET has no body; a POST has one of a kilobyte.
func (w *world) ordinary(method string) bool {
	path, body := "/safe/100", io.Reader(nil)
	if method == http.MethodPost {
		path, body = "/once/100", strings.NewReader(strings.Repeat("y", 1024))
	}
	r, err := http.NewRequest(method, "http://"+join(w.entry.address, frontPort)+path, body)
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Request-Id", fmt.Sprintf("ordinary-%d", w.requestID.Add(1)))
	r.Header.Set("Deadline-Milliseconds", "2500")
	res, err := w.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && len(got) == 100
}

// ready reports whether the entry answers the readiness probe with 200.
func (w *world) ready() bool {
	res, err := w.client.Get("http://" + join(w.entry.address, readinessPort) + "/tanagerbarrow/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// watch records the highest memory and number of descriptors of both processes.
func (w *world) watch() {
	for {
		for _, p := range []*process{w.entry, w.coordinator} {
			p.measure()
		}
		select {
		case <-w.stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// measure updates the peaks of a process.
func (p *process) measure() {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			p.peakKB = max(p.peakKB, kilobytes)
		}
	}
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	p.peakDescriptors = max(p.peakDescriptors, len(open))
}

// check checks, while the crowd is there, that an ordinary request of each kind, the
// readiness probe and a heartbeat are answered, that the processes live and that they have
// kept to their limits.
func (w *world) check() {
	w.t.Helper()
	end := time.Now().Add(eventTimeout)
	w.awaitUntil(end, "an ordinary GET is served", func() bool { return w.ordinary(http.MethodGet) })
	w.awaitUntil(end, "an ordinary POST is served", func() bool { return w.ordinary(http.MethodPost) })
	w.awaitUntil(end, "the readiness probe is answered", w.ready)
	w.awaitUntil(end, "a configuration is acknowledged", func() bool { return w.call("configuration.put", configuration) })
	close(w.stop)
	w.background.Wait()
	w.stop = make(chan struct{})
	for _, p := range []*process{w.entry, w.coordinator} {
		select {
		case <-p.ended:
			w.t.Errorf("%s ended by itself: %v", p.name, p.command.ProcessState)
		default:
		}
		w.t.Logf("%s: peak of %d MB and %d descriptors", p.name, p.peakKB>>10, p.peakDescriptors)
		if p.peakKB > memoryMB<<10 {
			w.t.Errorf("%s used %d MB of %d", p.name, p.peakKB>>10, memoryMB)
		}
		if p.peakDescriptors > descriptorLimit-reservedDescriptors {
			w.t.Errorf("%s had %d descriptors open, may have %d", p.name, p.peakDescriptors, descriptorLimit-reservedDescriptors)
		}
	}
}
