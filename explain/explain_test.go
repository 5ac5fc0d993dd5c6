package explain

import (
	"fmt"
	"strings"
	"testing"
)

// logs are those of an entry and of a control host around a failed request.
const logs = `{"level":"info","host":"core-1","event":"broker_stopped","term":3,"time":9000}
{"level":"info","host":"core-1","event":"server_announced","server":"i-9","time":9100}
{"level":"warn","host":"entry-1","event":"broker_lost","reason":"link is closed","time":9800}
noise that is no JSON
 12.5 entry-1 {"level":"warn","host":"entry-1","event":"try_failed","request_id":"r1","server":"i-7","took_ms":40.5,"time":10040}
{"level":"info","host":"core-2","event":"server_left","server":"i-7","time":9990}
{"level":"warn","host":"entry-1","event":"request_ended","request_id":"r1","status":502,"took_ms":60,"time":10060}
{"level":"info","host":"entry-1","event":"request_ended","request_id":"r2","status":200,"time":10060}
{"level":"info","host":"entry-2","event":"broker_found","time":30000}
`

// TestStoryHoldsCauseAndOrder reads the story of the failed request.
func TestStoryHoldsCauseAndOrder(t *testing.T) {
	r := NewReader("r1")
	if err := r.Read(strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, l := range r.Timeline() {
		events = append(events, l.Event)
	}
	want := "broker_stopped broker_lost server_left try_failed request_ended"
	if got := strings.Join(events, " "); got != want {
		t.Errorf("story is %q, want %q", got, want)
	}
	if r.Skipped() != 1 {
		t.Errorf("%d lines were passed over, want 1", r.Skipped())
	}
	if text := r.Timeline()[3].String(); !strings.Contains(text, "server=i-7") || !strings.Contains(text, "entry-1") {
		t.Errorf("line is %q", text)
	}
}

// TestUnknownRequestHasNoStory asks for a request that no log knows.
func TestUnknownRequestHasNoStory(t *testing.T) {
	r := NewReader("r3")
	if err := r.Read(strings.NewReader(logs)); err != nil || r.Timeline() != nil {
		t.Errorf("story %v, error %v", r.Timeline(), err)
	}
}

// TestMemoryIsBounded reads far more changes of belief than are held.
func TestMemoryIsBounded(t *testing.T) {
	r := NewReader("r1")
	for n := range 5 * keptBeliefs {
		r.take(fmt.Appendf(nil, `{"host":"h","event":"x","time":%d}`, n))
	}
	if len(r.beliefs) > 2*keptBeliefs {
		t.Errorf("%d lines are held", len(r.beliefs))
	}
}

// FuzzTake holds that no line crashes the reader.
func FuzzTake(f *testing.F) {
	f.Add(`{"time":"x"}`)
	f.Add(`{"time":1e300,"took_ms":"y","request_id":"r"}`)
	f.Fuzz(func(_ *testing.T, line string) {
		r := NewReader("r")
		r.take([]byte(line))
		for _, l := range r.Timeline() {
			_ = l.String()
		}
	})
}
