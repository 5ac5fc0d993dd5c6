// Package explain tells the story of one request from the logs of several
// processes: what was decided about it, and what the processes that decided had
// learned shortly before.
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

// The bounds of what is held of logs of any size.
const (
	// keptBeliefs bounds the lines that are no request's; the oldest go first.
	keptBeliefs = 20_000
	// maxLineBytes bounds a line, in bytes.
	maxLineBytes = 1 << 20
	// before is how long before a request's first line a change of belief counts
	// as its background: the time in which a lost dependency is noticed.
	before = 3 * time.Second
	// after is how long after its last line it does.
	after = 500 * time.Millisecond
)

// requestEvents are the events of single requests.
var requestEvents = []string{"request_ended", "try_failed"}

// brokerEvents tell which control host decided, and concern every request.
var brokerEvents = []string{"broker_started", "broker_stopped"}

// Line is one line of a log.
type Line struct {
	// At is when it was written.
	At time.Time
	// Host is who wrote it, and Event what happened.
	Host, Event string
	// RequestID is the request that it is about; empty for a change of belief.
	RequestID string
	// Fields are the other fields as text.
	Fields map[string]string
}

// String returns the line for a person.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-24s %s", l.At.UTC().Format("15:04:05.000"), l.Host, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%s", name, l.Fields[name])
	}
	return b.String()
}

// Reader collects a request's story from logs that pass by once.
type Reader struct {
	id      string
	own     []Line
	beliefs []Line
	skipped int
}

// NewReader returns a reader for the request.
func NewReader(id string) *Reader { return &Reader{id: id} }

// Read takes in one log. Lines that are no JSON are counted and passed over.
func (r *Reader) Read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		r.take(lines.Bytes())
	}
	return errors.Wrap(lines.Err(), "read log")
}

// take takes in one line. What stands before its first brace, such as a
// collector's own time, is passed over.
func (r *Reader) take(text []byte) {
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
		r.own = append(r.own, l)
	case slices.Contains(requestEvents, l.Event):
	default:
		if len(r.beliefs) >= 2*keptBeliefs {
			r.beliefs = slices.Clone(r.beliefs[keptBeliefs:])
		}
		r.beliefs = append(r.beliefs, l)
	}
}

// parse decodes a line.
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
				return Line{}, errors.New("the time is no number")
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

// Timeline returns the request's lines and the changes of belief around them, in
// order of time: those of the processes that wrote about it, and those about the
// servers that it was sent to.
func (r *Reader) Timeline() []Line {
	if len(r.own) == 0 {
		return nil
	}
	slices.SortStableFunc(r.own, func(a, b Line) int { return a.At.Compare(b.At) })
	from, to := r.own[0].At.Add(-before), r.own[len(r.own)-1].At.Add(after)
	hosts, servers := map[string]bool{}, map[string]bool{}
	for _, l := range r.own {
		hosts[l.Host] = true
		if id := l.Fields["server"]; id != "" {
			servers[id] = true
		}
		if begun := l.At.Add(-before - took(l)); begun.Before(from) {
			from = begun
		}
	}
	story := slices.Clone(r.own)
	for _, l := range r.beliefs {
		near := !l.At.Before(from) && !l.At.After(to)
		if near && (hosts[l.Host] || servers[l.Fields["server"]] || slices.Contains(brokerEvents, l.Event)) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

// took returns how long what a line tells of took.
func took(l Line) time.Duration {
	var ms float64
	if _, err := fmt.Sscan(l.Fields["took_ms"], &ms); err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Skipped returns how many lines could not be read.
func (r *Reader) Skipped() int { return r.skipped }
