package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// The forms in which an entry loses all backend servers.
const (
	cutNone int32 = iota
	// cutSilent delivers nothing until the cut ends, on old and new connections.
	cutSilent
	// cutReset resets old and new connections.
	cutReset
	// cutNewConnections resets new connections, while old ones work.
	cutNewConnections
	cutForms
)

// entryOf returns the number of the entry that opened a connection to a proxy, or -1.
func (h *harness) entryOf(c net.Conn) int {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return -1
	}
	for n := range entryCount {
		h.mu.Lock()
		folder := fmt.Sprintf("/proc/%d/fd", h.processes[controlCount+n].command.Process.Pid)
		h.mu.Unlock()
		descriptors, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, d := range descriptors {
			if target, err := os.Readlink(filepath.Join(folder, d.Name())); err == nil && target == "socket:["+inode+"]" {
				return n
			}
		}
	}
	return -1
}

// socketInode returns the inode of the socket of an open connection between two
// addresses of this host, on the side of the first; empty if there is none.
func socketInode(from, to *net.TCPAddr) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = table.Close() }()
	want := [2]string{hexAddress(from), hexAddress(to)}
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == want[0] && fields[2] == want[1] {
			return fields[9]
		}
	}
	return ""
}

// hexAddress returns an address as the kernel writes it in its table of connections.
func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// cut begins or ends the cut of entries.
func (h *harness) cut(form int32, entries ...int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range entries {
		h.cuts[entry].Store(form)
		h.cutChangedAt[entry] = time.Now()
	}
}

// cutEntries cuts one or two of the entries off from all backend servers for a time, in
// one of the forms.
func cutEntries(h *harness, _ []*server, end time.Time) {
	random := h.randomFor(6)
	for time.Now().Before(end) {
		form := 1 + int32(random.IntN(int(cutForms-1)))
		first, second := random.IntN(entryCount), random.IntN(entryCount)
		h.cut(form, first, second)
		time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		h.cut(cutNone, first, second)
		time.Sleep(time.Duration(300+random.IntN(2000)) * time.Millisecond)
	}
}

// awaitPassage waits until an entry's cut lets bytes that were received on an old
// connection pass. It returns false if they are lost: the cut resets the connection, or
// their sender did meanwhile.
func (h *harness) awaitPassage(entry int, from net.Conn) bool {
	for held := false; entry >= 0; held = true {
		switch h.cuts[entry].Load() {
		case cutSilent:
			time.Sleep(20 * time.Millisecond)
		case cutReset:
			return false
		default:
			return !held || !wasReset(from)
		}
	}
	return true
}

// wasReset reports whether the peer has reset a connection.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || errors.Is(peekErr, syscall.ECONNRESET)
}

// TestEntriesWithoutServersAreServed cuts two of four entries off from all backend
// servers, in each form. Their callers must be served nearly as often as the others.
func TestEntriesWithoutServersAreServed(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "tanagerbarrow")
	if out, err := exec.Command("go", "build", "-o", binary, "tanagerbarrow/cmd/tanagerbarrow").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	h := newHarness(t, binary, 270)
	for _, p := range h.processes {
		h.start(p, true)
	}
	defer h.stop()
	if !h.declare(1) {
		t.Fatal("the first configuration was not acknowledged")
	}
	for n := range 6 {
		if _, err := newServer(h, n, zones[n%len(zones)]); err != nil {
			t.Fatal(err)
		}
	}
	h.waitUntilServed()
	for form := cutSilent; form < cutForms; form++ {
		h.cut(form, 0, 1)
		time.Sleep(cutDetection)
		served := h.firstAttempts(t, fmt.Sprint("cut", form), 60)
		h.cut(cutNone, 0, 1)
		h.waitUntilServed()
		cut, others := served[0]+served[1], served[2]+served[3]
		t.Logf("form %d: entries that were cut off served %d of 120 requests, the others %d of 120", form, cut, others)
		if 3*cut < 2*others || others < 114 {
			t.Errorf("form %d: entries that were cut off served %d of 120 requests, the others %d of 120", form, cut, others)
		}
	}
	for _, failure := range h.failures {
		t.Error(failure)
	}
}

// cutDetection is the time after the beginning of a cut from which requests count.
const cutDetection = 3 * time.Second

// firstAttempts sends requests of all kinds to each entry, and returns how many of them
// each entry served.
func (h *harness) firstAttempts(t *testing.T, name string, perEntry int) [entryCount]int {
	t.Helper()
	var served [entryCount]int
	var all sync.WaitGroup
	for entry := range entryCount {
		all.Go(func() {
			for n := range perEntry {
				id := fmt.Sprintf("%s-%d-%d", name, entry, n)
				path, atMostOnce, home := "/safe/x", false, false
				switch n % 3 {
				case 1:
					path, atMostOnce = "/once/x", true
				case 2:
					path, atMostOnce, home = "/home/x", true, true
				}
				if h.send(entry, id, path, atMostOnce, home) == http.StatusOK {
					served[entry]++
				}
				if runs := h.executions.of(id); atMostOnce && len(runs) > 1 {
					h.fail("TWICE: request %s ran %d times: %v", id, len(runs), runs)
				}
			}
		})
	}
	all.Wait()
	return served
}
