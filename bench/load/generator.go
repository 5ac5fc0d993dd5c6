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

// The limits of a generator.
const (
	// maxRequestsInProgress bounds the requests in progress; a request that is
	// due beyond it is not sent and counts as overrun.
	maxRequestsInProgress = 8192
	// maxConnectAttempts bounds the connection attempts of one request.
	maxConnectAttempts = 3
)

// Kind describes one kind of request in the mix.
type Kind struct {
	// Name names the kind in reports.
	Name string
	// Weight is the kind's share of requests, relative to the other kinds.
	Weight float64
	// Method and Path are the HTTP method and path.
	Method, Path string
	// BodyBytes is the size of the body, in bytes.
	BodyBytes int
	// HasIdempotencyKey makes the requests carry an idempotency key.
	HasIdempotencyKey bool
	// Account is the client account that the requests name.
	Account string
}

// Outcome is the result of one request.
type Outcome struct {
	// Kind is the name of the request's [Kind].
	Kind string
	// Token identifies the request at the stand-ins.
	Token string
	// Due is when the request was due.
	Due time.Time
	// Latency is the time from Due to the end of the response.
	Latency time.Duration
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Verdict is the verdict in the header of the response.
	Verdict string
	// WrongAnswer reports that the response belongs to another request.
	WrongAnswer bool
	// Overrun reports that the request was not sent, because too many were in
	// progress.
	Overrun bool
	// Failure is the error of a failed request, or empty.
	Failure string
}

// OK reports whether the request received its own complete response with status
// 200.
func (o *Outcome) OK() bool { return o.Status == http.StatusOK && !o.WrongAnswer && o.Failure == "" }

// Generator sends a mix of requests at a rate.
type Generator struct {
	// Balancer selects the entry of each request.
	Balancer *Balancer
	// Mix lists the kinds of requests that are sent.
	Mix []Kind
	// Rate is the mean number of requests each second.
	Rate float64
	// Seed makes the arrivals and the sequence of kinds reproducible.
	Seed uint64
	// Timeout is the timeout that each request states in its header.
	Timeout time.Duration

	client *http.Client
}

// Run sends requests for the given duration, waits for the last response and
// calls sink for each outcome, from one goroutine.
func (g *Generator) Run(ctx context.Context, name string, length time.Duration, sink func(Outcome)) {
	g.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxRequestsInProgress}, Timeout: g.Timeout + time.Second}
	defer g.client.CloseIdleConnections()
	outcomes := make(chan Outcome, maxRequestsInProgress)
	go g.sendWhenDue(ctx, name, length, outcomes)
	for o := range outcomes {
		sink(o)
	}
}

// sendWhenDue sends each request when it is due and closes the channel after the
// last outcome.
func (g *Generator) sendWhenDue(ctx context.Context, name string, length time.Duration, outcomes chan<- Outcome) {
	random := rand.New(rand.NewPCG(g.Seed, uint64(len(name))))
	slots := make(chan struct{}, maxRequestsInProgress)
	var wg sync.WaitGroup
	start := time.Now()
	due := start
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second)))
		if due.Sub(start) > length {
			break
		}
		time.Sleep(time.Until(due))
		kind := g.drawKind(random)
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

// drawKind returns the kind of the next request, drawn at random by weight.
func (g *Generator) drawKind(random *rand.Rand) *Kind {
	var total float64
	for _, k := range g.Mix {
		total += k.Weight
	}
	draw := random.Float64() * total
	for i := range g.Mix {
		if draw -= g.Mix[i].Weight; draw < 0 {
			return &g.Mix[i]
		}
	}
	return &g.Mix[len(g.Mix)-1]
}

// send sends one request and fills in its outcome. If an entry refuses the
// connection, it tries the next one, as the platform's load balancer does.
func (g *Generator) send(ctx context.Context, kind *Kind, o *Outcome) {
	defer func() { o.Latency = time.Since(o.Due) }()
	for range maxConnectAttempts {
		err := g.sendToEntry(ctx, kind, g.Balancer.Pick(), o)
		if err == nil {
			return
		}
		o.Failure = err.Error()
		var networkError *net.OpError
		if !errors.Is(err, syscall.ECONNREFUSED) || !errors.As(err, &networkError) || networkError.Op != "dial" {
			return
		}
	}
}

// sendToEntry sends the request to one entry and checks that the response
// carries its token.
func (g *Generator) sendToEntry(ctx context.Context, kind *Kind, e Entry, o *Outcome) error {
	r, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+e.Caller+kind.Path, requestBody(kind, o.Token))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	r.GetBody = nil
	r.Header.Set(standin.TokenHeader, o.Token)
	r.Header.Set(request.ClientAccountHeader, kind.Account)
	r.Header.Set(request.TimeoutHeader, strconv.FormatInt(g.Timeout.Milliseconds(), 10))
	if kind.HasIdempotencyKey {
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
		return errors.Wrapf(err, "entry %q: read response", e.Name)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Newf("entry %q: status %d: %s", e.Name, res.StatusCode, answer)
	}
	o.WrongAnswer = res.Header.Get(standin.TokenHeader) != o.Token || !bytes.Contains(answer, []byte(`"`+o.Token+`"`))
	return nil
}

// requestBody returns the body of a request: its token, repeated up to the size.
func requestBody(kind *Kind, token string) io.Reader {
	if kind.BodyBytes == 0 {
		return nil
	}
	return strings.NewReader(strings.Repeat(token, kind.BodyBytes/len(token)+1)[:kind.BodyBytes])
}
