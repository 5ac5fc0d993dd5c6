package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/bench/standin"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// The bounds of a generator.
const (
	// maxOutstanding bounds requests in progress; a request that is due beyond
	// it counts as overrun.
	maxOutstanding = 8192
	// maxConnects bounds the entries that one request tries to connect to.
	maxConnects = 3
)

// Kind is one kind of request in the mix.
type Kind struct {
	// Name names the kind in reports.
	Name string
	// Weight is the kind's share of requests, relative to the other kinds.
	Weight float64
	// Method and Path form the request line.
	Method, Path string
	// BodyBytes is the size of the body.
	BodyBytes int
	// Keyed requests carry an idempotency key.
	Keyed bool
	// Account is the client account.
	Account string
}

// Outcome is what became of one request.
type Outcome struct {
	// Kind is the request's kind.
	Kind string
	// Token identifies the request at the stand-ins.
	Token string
	// Due is when the request was due.
	Due time.Time
	// Latency is the time from Due to the end of the answer.
	Latency time.Duration
	// Status is the HTTP status, or 0 without an answer.
	Status int
	// Verdict is the answer's verdict.
	Verdict string
	// Wrong says that the answer belongs to another request.
	Wrong bool
	// Overrun says that the request was not sent, because too many were in
	// progress.
	Overrun bool
	// Failure describes a failed request.
	Failure string
}

// OK reports whether the request got its own whole answer.
func (o *Outcome) OK() bool { return o.Status == http.StatusOK && !o.Wrong && o.Failure == "" }

// Generator sends a mix of requests at a rate.
type Generator struct {
	// Balancer chooses the entry of each request.
	Balancer *Balancer
	// Mix is what is sent.
	Mix []Kind
	// Rate is the mean number of requests each second.
	Rate float64
	// Seed makes arrivals and mix repeatable.
	Seed uint64
	// Timeout is the deadline that each request names.
	Timeout time.Duration

	client *http.Client
}

// Run sends requests for the given time, waits for the last answer and calls
// sink for each outcome, from one goroutine.
func (g *Generator) Run(ctx context.Context, name string, length time.Duration, sink func(Outcome)) {
	g.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOutstanding}, Timeout: g.Timeout + time.Second}
	defer g.client.CloseIdleConnections()
	outcomes := make(chan Outcome, maxOutstanding)
	go g.arrivals(ctx, name, length, outcomes)
	for o := range outcomes {
		sink(o)
	}
}

// arrivals sends each request when it is due and closes the channel after the
// last outcome.
func (g *Generator) arrivals(ctx context.Context, name string, length time.Duration, outcomes chan<- Outcome) {
	random := rand.New(rand.NewPCG(g.Seed, uint64(len(name))))
	slots := make(chan struct{}, maxOutstanding)
	var wg sync.WaitGroup
	start := time.Now()
	due := start
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second)))
		if due.Sub(start) > length {
			break
		}
		time.Sleep(time.Until(due))
		kind := g.kind(random)
		o := Outcome{Kind: kind.Name, Token: fmt.Sprintf("%s-%d", name, n), Due: due}
		select {
		case slots <- struct{}{}:
		default:
			o.Overrun, o.Failure = true, "overrun"
			outcomes <- o
			continue
		}
		wg.Go(func() {
			g.send(ctx, kind, &o)
			<-slots
			outcomes <- o
		})
	}
	wg.Wait()
	close(outcomes)
}

// kind draws the next request's kind.
func (g *Generator) kind(random *rand.Rand) *Kind {
	var total float64
	for _, k := range g.Mix {
		total += k.Weight
	}
	at := random.Float64() * total
	for i := range g.Mix {
		if at -= g.Mix[i].Weight; at < 0 {
			return &g.Mix[i]
		}
	}
	return &g.Mix[len(g.Mix)-1]
}

// send sends one request and fills its outcome in. An entry that refuses the
// connection is passed over, as the platform's balancer does.
func (g *Generator) send(ctx context.Context, kind *Kind, o *Outcome) {
	defer func() { o.Latency = time.Since(o.Due) }()
	for range maxConnects {
		err := g.exchange(ctx, kind, g.Balancer.Pick(), o)
		if err == nil {
			return
		}
		o.Failure = err.Error()
		var op *net.OpError
		if !errors.Is(err, syscall.ECONNREFUSED) || !errors.As(err, &op) || op.Op != "dial" {
			return
		}
	}
}

// exchange sends the request to one entry.
func (g *Generator) exchange(ctx context.Context, kind *Kind, e Entry, o *Outcome) error {
	r, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+e.Caller+kind.Path, body(kind, o.Token))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	r.GetBody = nil
	r.Header.Set(standin.TokenHeader, o.Token)
	r.Header.Set(request.ClientAccountHeader, kind.Account)
	r.Header.Set(request.TimeoutHeader, strconv.FormatInt(g.Timeout.Milliseconds(), 10))
	if kind.Keyed {
		r.Header[strings.ToLower(request.KeyHeader)] = []string{o.Token}
	}
	res, err := g.client.Do(r)
	if err != nil {
		return errors.Wrapf(err, "entry %q", e.Name)
	}
	defer func() { _ = res.Body.Close() }()
	o.Status, o.Verdict, o.Failure = res.StatusCode, res.Header.Get(verdict.Header), ""
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrapf(err, "entry %q: read answer", e.Name)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Newf("entry %q: status %d: %s", e.Name, res.StatusCode, answer)
	}
	o.Wrong = res.Header.Get(standin.TokenHeader) != o.Token || !bytes.Contains(answer, []byte(`"`+o.Token+`"`))
	return nil
}

// body returns the body of a request: its token, repeated up to the size.
func body(kind *Kind, token string) io.Reader {
	if kind.BodyBytes == 0 {
		return nil
	}
	return strings.NewReader(strings.Repeat(token, kind.BodyBytes/len(token)+1)[:kind.BodyBytes])
}
