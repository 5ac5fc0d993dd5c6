package integration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/bench/standin"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// uploadBytes is the size of the test's upload.
const uploadBytes = 20 << 20

// smallSize is one control process and two entries in two zones of a region.
var smallSize = cluster.Size{
	Controls: 1, Entries: 2,
	Zones:     map[string]string{"a": "north", "b": "north"},
	ZoneOrder: []string{"a", "b"},
}

func TestWholePathInSeparateProcesses(t *testing.T) {
	s := startSystem(t, smallSize)
	backends := []*standin.Server{s.standIn("catalogue", "a"), s.standIn("catalogue", "b")}
	s.admit("catalogue")
	for _, e := range s.Entries {
		s.eventually("both backend servers answer through "+e.Name, func() bool {
			return len(serversSeen(e, 20)) == len(backends)
		})
	}
	t.Run("read", func(t *testing.T) { checkRead(t, s) })
	t.Run("order", func(t *testing.T) { checkOrder(t, s, backends) })
	t.Run("upload", func(t *testing.T) { checkUpload(t, s) })
	t.Run("bad input", func(t *testing.T) { checkBadInput(t, s) })

	s.kill(s.Entries[0].Name)
	left := s.Entries[1]
	if got, err := send(left, http.MethodGet, "/catalogue/bells", nil, nil); err != nil || got.status != http.StatusOK {
		t.Fatalf("after an entry was killed: %+v, %v", got, err)
	}
	backends[0].Close()
	for i := range 50 {
		got, err := send(left, http.MethodGet, "/catalogue/bells", nil, nil)
		if err != nil || got.status != http.StatusOK {
			t.Fatalf("read %d after a backend server was killed: %d %s, %v", i, got.status, got.body, err)
		}
	}
}

// serversSeen returns the backend servers that answer some reads.
func serversSeen(e cluster.Process, reads int) map[string]bool {
	seen := map[string]bool{}
	for range reads {
		got, err := send(e, http.MethodGet, "/catalogue/bells", nil, nil)
		if err == nil && got.status == http.StatusOK {
			seen[got.answer.Server] = true
		}
	}
	return seen
}

// checkRead checks that a read gets the answer to itself.
func checkRead(t *testing.T, s *system) {
	for i, e := range s.Entries {
		token := fmt.Sprintf("read-%d", i)
		got, err := send(e, http.MethodGet, "/catalogue/bells", http.Header{standin.TokenHeader: {token}}, nil)
		if err != nil || got.status != http.StatusOK || got.answer.Token != token {
			t.Fatalf("got %d %s, %v", got.status, got.body, err)
		}
		if v := got.header.Get(verdict.Header); v != verdict.Ran.String() {
			t.Fatalf("verdict %q, want Ran", v)
		}
	}
}

// checkOrder checks that the same order through both entries runs once.
func checkOrder(t *testing.T, s *system, backends []*standin.Server) {
	header := http.Header{standin.TokenHeader: {"order"}, request.KeyHeader: {"key-1"}}
	var first reply
	for i, e := range s.Entries {
		got, err := send(e, http.MethodPost, "/catalogue/orders", header, strings.NewReader("bronze"))
		if err != nil || got.status != http.StatusOK {
			t.Fatalf("order through %s: %d %s, %v", e.Name, got.status, got.body, err)
		}
		if i == 0 {
			first = got
		} else if !bytes.Equal(first.body, got.body) {
			t.Fatalf("second answer %s differs from first %s", got.body, first.body)
		}
	}
	if runs := backends[0].RunCount("order") + backends[1].RunCount("order"); runs != 1 {
		t.Fatalf("the order ran %d times", runs)
	}
	got, err := send(s.Entries[1], http.MethodPost, "/catalogue/orders", header, strings.NewReader("silver"))
	if err != nil || got.status != http.StatusUnprocessableEntity {
		t.Fatalf("another body under the same key: %d %s, %v", got.status, got.body, err)
	}
}

// checkUpload checks that a large body arrives whole.
func checkUpload(t *testing.T, s *system) {
	body := make([]byte, uploadBytes)
	source := rand.NewChaCha8([32]byte{1})
	_, _ = source.Read(body)
	sum := sha256.Sum256(body)
	got, err := send(s.Entries[0], http.MethodPost, "/catalogue/brands", nil, bytes.NewReader(body))
	if err != nil || got.status != http.StatusOK {
		t.Fatalf("upload: %d %s, %v", got.status, got.body, err)
	}
	if got.answer.SHA256 != hex.EncodeToString(sum[:]) {
		t.Fatalf("the backend server got %d bytes with SHA-256 %s", got.answer.Bytes, got.answer.SHA256)
	}
}

// checkBadInput checks that bad requests are refused with NotRun.
func checkBadInput(t *testing.T, s *system) {
	got, err := send(s.Entries[0], http.MethodGet, "/nothing/here", nil, nil)
	if err != nil || got.status != http.StatusNotFound || got.header.Get(verdict.Header) != verdict.NotRun.String() {
		t.Fatalf("unknown service: %+v, %v", got, err)
	}
	header := http.Header{request.TimeoutHeader: {"soon"}}
	got, err = send(s.Entries[0], http.MethodGet, "/catalogue/bells", header, nil)
	if err != nil || got.status != http.StatusBadRequest || got.header.Get(verdict.Header) != verdict.NotRun.String() {
		t.Fatalf("bad timeout: %+v, %v", got, err)
	}
}
