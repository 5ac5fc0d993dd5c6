package crowd

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"tanagerbarrow/bench/cluster"
)

// ownConnections is the limit of open connections of each listener of the project's own roles.
const ownConnections = 150

// ownWorld is one control host and one entry of the project's own roles.
type ownWorld struct {
	*cluster.System
	t       *testing.T
	running []*process
	client  *http.Client
}

// newOwnWorld starts the processes and waits until they answer.
func newOwnWorld(t *testing.T) *ownWorld {
	t.Helper()
	s, err := cluster.WriteSettings(t.TempDir(), cluster.Size{
		Controls: 1, Entries: 1, Zones: map[string]string{"a": "west"}, ZoneOrder: []string{"a"},
		ExtraSettings: fmt.Sprintf("[limits]\nmax-connections = %d\nmax-head-memory = %d\n", ownConnections, 16<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &ownWorld{System: s, t: t, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	w.start("control", s.Controls[0])
	w.start("entry", s.Entries[0])
	w.await("ordinary requests are answered", w.answers)
	return w
}

// start starts a process.
func (w *ownWorld) start(role string, p cluster.Process) {
	c := exec.Command(program, role, "--config", p.SettingsFile)
	if err := c.Start(); err != nil {
		w.t.Fatal(err)
	}
	running := &process{name: p.Name, command: c, ended: make(chan struct{})}
	w.running = append(w.running, running)
	go func() {
		_ = c.Wait()
		close(running.ended)
	}()
	w.t.Cleanup(func() {
		_ = c.Process.Kill()
		<-running.ended
	})
}

// await waits until done returns true, and measures the processes meanwhile.
func (w *ownWorld) await(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(eventTimeout); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Errorf("not so within %s: %s", eventTimeout, what)
			return
		}
		w.measure()
	}
}

// measure updates the peaks of all processes.
func (w *ownWorld) measure() {
	for _, p := range w.running {
		p.measure()
	}
}

// answers reports whether callers, the platform and operators get an answer; the entry has no
// service.
func (w *ownWorld) answers() bool {
	for _, url := range []string{
		"http://" + w.Entries[0].Caller.String() + "/none/x", "http://" + w.Entries[0].Admin.String() + "/ready",
		"http://" + w.Controls[0].Operator.String() + "/none",
	} {
		res, err := w.client.Get(url)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		if strings.HasSuffix(url, "/ready") && res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// TestCrowdsAtTheOwnRoles lets crowds come to callers' port, the admin port and operators' port.
func TestCrowdsAtTheOwnRoles(t *testing.T) {
	ways := []struct {
		name string
		act  func(path string) member
	}{
		{"bodies one byte short", func(path string) member { return shortBody(path, 60<<10, whole) }},
		{"chunks without end", func(path string) member { return shortChunks(path, 60<<10, 4<<10) }},
		{"many fields", manyFields},
		{"heads without end", longHead},
		{"sent ahead", sentAhead},
		{"half a head", halfHead},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			w := newOwnWorld(t)
			for _, to := range []string{
				w.Entries[0].Caller.String() + " /none/x", w.Entries[0].Admin.String() + " /ready", w.Controls[0].Operator.String() + " /none",
			} {
				address, path, _ := strings.Cut(to, " ")
				defer gather(address, crowdSize, way.act(path))()
				w.measure()
			}
			w.await("ordinary requests are answered", w.answers)
			w.measure()
			for _, p := range w.running {
				select {
				case <-p.ended:
					t.Errorf("%s ended by itself: %v", p.name, p.command.ProcessState)
				default:
				}
				t.Logf("%s: peak of %d MB and %d descriptors", p.name, p.peakKB>>10, p.peakDescriptors)
				if p.peakKB > memoryMB<<10 || p.peakDescriptors > descriptorLimit-reservedDescriptors {
					t.Errorf("%s used %d MB of %d and %d descriptors of %d", p.name, p.peakKB>>10, memoryMB, p.peakDescriptors, descriptorLimit-reservedDescriptors)
				}
			}
		})
	}
}
