package explain

import (
	"fmt"
	"strings"
	"testing"
)

// logs are lines of entries and control hosts around a failed request.
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

// TestTimelineHasContextInOrder builds the timeline of the failed request.
func TestTimelineHasContextInOrder(t *testing.T) {
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
		t.Errorf("timeline is %q, want %q", got, want)
	}
	if r.Skipped() != 1 {
		t.Errorf("%d lines were skipped, want 1", r.Skipped())
	}
	if text := r.Timeline()[3].String(); !strings.Contains(text, "server=i-7") || !strings.Contains(text, "entry-1") {
		t.Errorf("line is %q", text)
	}
}

// TestTimelineNamesTheStageOfARollout builds the timeline of a request long after its service's roll-out
// has reached a stage.
func TestTimelineNamesTheStageOfARollout(t *testing.T) {
	r := NewReader("r1")
	text := `{"host":"core-1","event":"rollout_stage","service":"s","stage":"canary","time":1000}
{"host":"core-1","event":"rollout_stage","service":"s","stage":"rolled_back","time":2000}
{"host":"core-1","event":"rollout_stage","service":"other","stage":"canary","time":3000}
{"host":"core-2","event":"rollout_stage","service":"s","stage":"canary","time":90010}
{"host":"entry-1","event":"request_ended","request_id":"r1","service":"s","status":200,"took_ms":60,"time":90000}
`
	if err := r.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	var stages []string
	for _, l := range r.Timeline() {
		stages = append(stages, l.Fields["stage"])
	}
	if got := strings.Join(stages, ","); got != "rolled_back,,canary" {
		t.Errorf("the timeline has the stages %q", got)
	}
}

// TestUnknownRequestHasNoTimeline looks for a request that occurs in no log.
func TestUnknownRequestHasNoTimeline(t *testing.T) {
	r := NewReader("r3")
	if err := r.Read(strings.NewReader(logs)); err != nil || r.Timeline() != nil {
		t.Errorf("timeline %v, error %v", r.Timeline(), err)
	}
}

// TestContextLinesAreBounded reads far more context lines than are kept.
func TestContextLinesAreBounded(t *testing.T) {
	r := NewReader("r1")
	for n := range 5 * maxContextLines {
		r.addLine(fmt.Appendf(nil, `{"host":"h","event":"x","time":%d}`, n))
	}
	if len(r.contextLines) > 2*maxContextLines {
		t.Errorf("%d lines are kept", len(r.contextLines))
	}
}

// FuzzAddLine checks that no line makes the reader panic.
func FuzzAddLine(f *testing.F) {
	f.Add(`{"time":"x"}`)
	f.Add(`{"time":1e300,"took_ms":"y","request_id":"r"}`)
	f.Fuzz(func(_ *testing.T, line string) {
		r := NewReader("r")
		r.addLine([]byte(line))
		for _, l := range r.Timeline() {
			_ = l.String()
		}
	})
}
