// Package explain builds the timeline of one request from the logs of several
// processes: the decisions about it, and the events that those processes logged
// shortly before.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The limits that bound memory for logs of any size, and the time window of a
// timeline.
const (
	// maxContextLines is how many lines that belong to no request are kept; the
	// oldest are discarded first.
	maxContextLines = 20_000
	// maxLineBytes bounds a line, in bytes.
	maxLineBytes = 1 << 20
	// contextBefore is how long before the request's first line the timeline
	// begins: the time in which the loss of a dependency is detected.
	contextBefore = 3 * time.Second
	// contextAfter is how long after the request's last line the timeline ends.
	contextAfter = 500 * time.Millisecond
)

// requestEvents are the events of single requests.
var requestEvents = []string{"request_ended", "try_failed"}

// brokerEvents show which control host made decisions; they concern every
// request.
var brokerEvents = []string{"broker_started", "broker_stopped"}

// rolloutEvent tells that the roll-out of a service has reached a stage. The last one before the
// timeline says which version was in use.
const rolloutEvent = "rollout_stage"

// Line is one line of a log.
type Line struct {
	// At is the time at which it was written.
	At time.Time
	// Host is the host that wrote it, and Event the name of the event.
	Host, Event string
	// RequestID identifies the request that it concerns, and is empty for an event
	// that concerns no single request.
	RequestID string
	// Fields are the other fields, formatted as text.
	Fields map[string]string
}

// String returns the line in a readable form.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-24s %s", l.At.UTC().Format("15:04:05.000"), l.Host, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%s", name, l.Fields[name])
	}
	return b.String()
}

// Reader collects the timeline of a request while it reads each log once.
type Reader struct {
	id           string
	requestLines []Line
	contextLines []Line
	skipped      int
}

// NewReader returns a reader for the request with the identifier.
func NewReader(id string) *Reader { return &Reader{id: id} }

// Read reads one log. Lines that are not JSON are skipped and counted.
func (r *Reader) Read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		r.addLine(lines.Bytes())
	}
	return errors.Wrap(lines.Err(), "read log")
}

// addLine parses one line and keeps it if it belongs to the request or to no
// request. Text before the first brace, such as the timestamp of a log collector,
// is ignored.
func (r *Reader) addLine(text []byte) {
	_, object, found := strings.Cut(string(text), "{")
	if !found {
		r.skipped++
		return
	}
	l, err := parse("{" + object)
	if err != nil {
		r.skipped++
		return
	}
	switch {
	case l.RequestID == r.id:
		r.requestLines = append(r.requestLines, l)
	case slices.Contains(requestEvents, l.Event):
	default:
		if len(r.contextLines) >= 2*maxContextLines {
			r.contextLines = slices.Clone(r.contextLines[maxContextLines:])
		}
		r.contextLines = append(r.contextLines, l)
	}
}

// parse decodes the JSON object of a line.
func parse(text string) (Line, error) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return Line{}, err
	}
	l := Line{Fields: map[string]string{}}
	for name, value := range fields {
		switch name {
		case "time":
			ms, ok := value.(float64)
			if !ok {
				return Line{}, errors.New("the time is not a number")
			}
			l.At = time.UnixMilli(int64(ms))
		case "host":
			l.Host = fmt.Sprint(value)
		case "event", "message":
			l.Event = fmt.Sprint(value)
		case "request_id":
			l.RequestID = fmt.Sprint(value)
		case "level", "role":
		default:
			l.Fields[name] = fmt.Sprint(value)
		}
	}
	return l, nil
}

// Timeline returns the request's lines and the context lines around them, in
// order of time. Context lines are those of the hosts that logged the request,
// those about backend servers to which it was sent, those of brokers, and the stages
// of its service's roll-out. It returns nil if no line concerns the request.
func (r *Reader) Timeline() []Line {
	if len(r.requestLines) == 0 {
		return nil
	}
	slices.SortStableFunc(r.requestLines, func(a, b Line) int { return a.At.Compare(b.At) })
	from, to := r.requestLines[0].At.Add(-contextBefore), r.requestLines[len(r.requestLines)-1].At.Add(contextAfter)
	hosts, servers, services := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range r.requestLines {
		hosts[l.Host] = true
		if id := l.Fields["server"]; id != "" {
			servers[id] = true
		}
		if service := l.Fields["service"]; service != "" {
			services[service] = true
		}
		if start := l.At.Add(-contextBefore - durationOf(l)); start.Before(from) {
			from = start
		}
	}
	timeline := slices.Clone(r.requestLines)
	if stage := r.lastStage(services, from); stage != nil {
		timeline = append(timeline, *stage)
	}
	for _, l := range r.contextLines {
		inWindow := !l.At.Before(from) && !l.At.After(to)
		if inWindow && (hosts[l.Host] || servers[l.Fields["server"]] || slices.Contains(brokerEvents, l.Event) || isStage(l, services)) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline
}

// isStage reports whether a line is about a stage of the roll-out of one of the services.
func isStage(l Line, services map[string]bool) bool {
	return l.Event == rolloutEvent && services[l.Fields["service"]]
}

// lastStage returns the last line before a time about the roll-out of one of the services, or nil.
func (r *Reader) lastStage(services map[string]bool, before time.Time) *Line {
	var last *Line
	for n, l := range r.contextLines {
		if isStage(l, services) && l.At.Before(before) && (last == nil || !l.At.Before(last.At)) {
			last = &r.contextLines[n]
		}
	}
	return last
}

// durationOf returns the duration that a line reports in took_ms, or 0 if it
// reports none.
func durationOf(l Line) time.Duration {
	var ms float64
	if _, err := fmt.Sscan(l.Fields["took_ms"], &ms); err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Skipped returns the number of lines that could not be parsed.
func (r *Reader) Skipped() int { return r.skipped }
