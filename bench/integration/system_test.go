package integration

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/bench/standin"
	"tanagerbarrow/operator"
	"tanagerbarrow/serving"
	"tanagerbarrow/state"
)

// eventTimeout bounds the wait for an event; it is no performance target.
const eventTimeout = 30 * time.Second

// binaries are the built programs, shared by all tests.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "tanagerbarrow-bin-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder, "tanagerbarrow/cmd/tanagerbarrow", "tanagerbarrow/cmd/tanagerctl")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// system is a running system of separate processes.
type system struct {
	*cluster.System

	t         *testing.T
	processes map[string]*exec.Cmd
}

// startSystem starts all processes of a system and waits until they serve.
func startSystem(t *testing.T, size cluster.Size) *system {
	t.Helper()
	written, err := cluster.WriteSettings(t.TempDir(), size)
	if err != nil {
		t.Fatal(err)
	}
	return startWritten(t, written)
}

// startWritten starts all processes of a system whose settings are written.
func startWritten(t *testing.T, written *cluster.System) *system {
	t.Helper()
	s := &system{System: written, t: t, processes: map[string]*exec.Cmd{}}
	t.Cleanup(s.stop)
	for _, p := range s.Controls {
		s.start("control", p)
	}
	for _, p := range s.Entries {
		s.start("entry", p)
	}
	for _, p := range s.Entries {
		url := "http://" + p.Admin.String() + serving.ReadyPath
		s.eventually("entry is ready", func() bool { return status(url) == http.StatusOK })
	}
	return s
}

// start starts one process.
func (s *system) start(role string, p cluster.Process) {
	s.t.Helper()
	log, err := os.OpenFile(p.SettingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(filepath.Join(binaries, "tanagerbarrow"), role, "--config", p.SettingsFile)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.processes[p.Name] = c
}

// kill ends one process at once.
func (s *system) kill(name string) {
	s.t.Helper()
	c := s.processes[name]
	delete(s.processes, name)
	if err := c.Process.Kill(); err != nil {
		s.t.Fatal(err)
	}
	_ = c.Wait()
}

// stop kills every process and shows the logs of a failed test.
func (s *system) stop() {
	for name := range s.processes {
		s.kill(name)
	}
	if !s.t.Failed() {
		return
	}
	for _, p := range append(s.Controls, s.Entries...) {
		log, _ := os.ReadFile(p.SettingsFile + ".log")
		s.t.Logf("log of %s:\n%s", p.Name, log[max(0, len(log)-4000):])
	}
}

// eventually waits for an event.
func (s *system) eventually(what string, happened func() bool) {
	s.t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if happened() {
			return
		}
	}
	s.t.Fatalf("waited %s in vain: %s", eventTimeout, what)
}

// status returns the status of a GET, or 0 if there was no answer.
func status(url string) int {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// ctl runs tanagerctl and decodes its JSON output.
func (s *system) ctl(out any, args ...string) {
	s.t.Helper()
	all := append([]string{
		"--server", "http://" + s.Controls[0].Operator.String(),
		"--key", cluster.OperatorKey, "--json",
	}, args...)
	c := exec.Command(filepath.Join(binaries, "tanagerctl"), all...)
	var stdout, stderr bytes.Buffer
	c.Stdout, c.Stderr = &stdout, &stderr
	if err := c.Run(); err != nil {
		s.t.Fatalf("tanagerctl %q: %v: %s%s", args, err, stdout.String(), stderr.String())
	}
	if err := json.Unmarshal(stdout.Bytes(), out); err != nil {
		s.t.Fatalf("tanagerctl %q: %v", args, err)
	}
}

// admit admits a service through tanagerctl and waits until it is in force.
func (s *system) admit(service string) {
	s.t.Helper()
	var p state.Plan
	s.ctl(&p, "plan", string(state.AdmitService), service)
	var a state.Answer
	s.ctl(&a, "confirm", p.ID, p.Digest)
	if !a.Accepted {
		s.t.Fatalf("plan %+v was refused: %+v", p, a)
	}
	s.eventually("the service is in force everywhere", func() bool {
		var got operator.Status
		s.ctl(&got, "status")
		for _, e := range s.Entries {
			if got.HostVersions[e.Name] < a.Version {
				return false
			}
		}
		return true
	})
}

// standIn starts a stand-in backend server.
func (s *system) standIn(service, zone string) *standin.Server {
	s.t.Helper()
	b, err := standin.Start(standin.Options{
		Service: service, AvailabilityZone: zone, Slots: 2, Generation: 1,
		Entries: s.AdminAddresses(), AnnounceKey: cluster.AnnounceKey,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	return b
}

// reply is a caller's view of an answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	answer standin.Answer
}

// send sends a request through an entry and reads the whole answer.
func send(entry cluster.Process, method, path string, header http.Header, body io.Reader) (reply, error) {
	r, err := http.NewRequest(method, "http://"+entry.Caller.String()+path, body)
	if err != nil {
		return reply{}, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	got := reply{status: res.StatusCode, header: res.Header}
	if got.body, err = io.ReadAll(res.Body); err != nil {
		return reply{}, err
	}
	_ = json.Unmarshal(got.body, &got.answer)
	return got, nil
}
