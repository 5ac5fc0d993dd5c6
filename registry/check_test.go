package registry

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// validServer returns a server whose record is valid.
func validServer() BackendServer {
	return BackendServer{ID: "i-1", Started: 1700000000000, Sequence: 1, Service: "s", Address: "10.0.0.9:8080", AvailabilityZone: "z", Slots: 4}
}

// TestCheckRefusesOddRecords guards against records of other writers that end or stall the
// processes that read them.
func TestCheckRefusesOddRecords(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	for name, change := range map[string]func(*BackendServer){
		"no identifier":       func(b *BackendServer) { b.ID = "" },
		"identifier of 3 MiB": func(b *BackendServer) { b.ID = long },
		"no service":          func(b *BackendServer) { b.Service = "" },
		"service of 3 MiB":    func(b *BackendServer) { b.Service = long },
		"no zone":             func(b *BackendServer) { b.AvailabilityZone = "" },
		"zone of 3 MiB":       func(b *BackendServer) { b.AvailabilityZone = long },
		"no address":          func(b *BackendServer) { b.Address = "" },
		"no port":             func(b *BackendServer) { b.Address = "10.0.0.9" },
		"port 0":              func(b *BackendServer) { b.Address = "10.0.0.9:0" },
		"port -1":             func(b *BackendServer) { b.Address = "10.0.0.9:-1" },
		"port 65536":          func(b *BackendServer) { b.Address = "10.0.0.9:65536" },
		"port 1e3":            func(b *BackendServer) { b.Address = "10.0.0.9:1e3" },
		"name for an address": func(b *BackendServer) { b.Address = "server:80" },
		"no host":             func(b *BackendServer) { b.Address = ":80" },
		"any host":            func(b *BackendServer) { b.Address = "0.0.0.0:80" },
		"multicast":           func(b *BackendServer) { b.Address = "224.0.0.1:80" },
		"address of 3 MiB":    func(b *BackendServer) { b.Address = long },
		"no slots":            func(b *BackendServer) { b.Slots = 0 },
		"negative slots":      func(b *BackendServer) { b.Slots = -4 },
		"too many slots":      func(b *BackendServer) { b.Slots = math.MaxInt },
		"negative start":      func(b *BackendServer) { b.Started = -1 },
		"cold for ever":       func(b *BackendServer) { b.ColdRemaining = math.MaxInt64 },
		"negative cold time":  func(b *BackendServer) { b.ColdRemaining = -time.Second },
	} {
		b := validServer()
		change(&b)
		if b.Check() == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if err := validServer().Check(); err != nil {
		t.Errorf("a valid record was refused: %v", err)
	}
}

// TestTableIsBounded announces more servers than a table holds; known ones are still refreshed.
func TestTableIsBounded(t *testing.T) {
	table, now := NewTable(), time.Now()
	b := validServer()
	for n := range maxRecords + 100 {
		b.ID, b.Address = fmt.Sprint("i-", n), fmt.Sprintf("10.%d.%d.%d:80", n>>16, n>>8&255, n&255)
		table.Announce(b, now)
	}
	if got := len(table.All()); got != maxRecords {
		t.Errorf("the table has %d records", got)
	}
	b.ID, b.Address, b.Sequence = "i-0", "10.0.0.0:80", 2
	if o, _ := table.Announce(b, now); o != Refreshed {
		t.Errorf("the outcome for a known server is %d", o)
	}
}
