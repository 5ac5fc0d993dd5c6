package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// execution is one run of a request on a backend server.
type execution struct {
	id         string
	method     string
	target     string
	began, end time.Time
}

// runs records what backend servers run.
type runs struct {
	mu  sync.Mutex
	all []*execution
}

func (r *runs) add(x *execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

// requestText is a request of a client as it is sent.
func requestText(method, target, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n\r\n",
		method, target, id, deadline.Milliseconds())
}

// startSmall starts a deployment with one service of the given number of backend servers, and
// returns its entries and what the servers run. It waits until the servers are warm and the
// system has been calm for the contact window.
func startSmall(w *world, kind string, servers int, work time.Duration) ([]*process, *runs, error) {
	entries, err := w.startAll(w.zone(0), w.zone(1))
	if err != nil {
		return nil, nil, err
	}
	if _, err := w.order("call=configuration.put", configurationText(1,
		[]string{routeText("r-1", "/lepu270/", kind, "huvo11a", 4*time.Second)}, []string{serviceText("huvo11a")}), 15*time.Second); err != nil {
		return nil, nil, err
	}
	seen := &runs{}
	for n := range servers {
		s := &server{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: "huvo11a", zone: w.zone(n % controlHosts),
			address: fmt.Sprint(w.prefix, 100+n, ":", serverPort), work: work, firstControl: n,
		}
		s.onRun = func(s *server, r *http.Request, _ []byte, at time.Time) {
			id := r.Header.Get("Request-Id")
			x := &execution{id: id, method: r.Method, target: r.RequestURI, began: at}
			w.noteAt(at, "server %s runs %s: %s %s", s.id, id, r.Method, r.RequestURI)
			seen.add(x)
			go func() {
				select {
				case <-r.Context().Done():
				case <-time.After(s.work):
				}
				seen.mu.Lock()
				x.end = time.Now()
				seen.mu.Unlock()
			}()
		}
		if err := w.startServer(s); err != nil {
			return nil, nil, err
		}
	}
	for _, e := range entries {
		if err := w.ready(e, 10*time.Second); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(6 * time.Second)
	return entries, seen, nil
}

// visit is one client's connection: the safe requests that it sends, each a moment after the one
// before and without waiting for an answer.
type visit struct {
	requests int
	// leaves says that the client closes its connection before it has an answer.
	leaves bool
}

// patience is the time after which a client leaves: half the objective of the route.
const patience = 300 * time.Millisecond

// pay makes a visit, and returns the identifiers of the requests, and when the client closed its
// connection.
func (w *world) pay(v visit, n int, entry *process) (ids []string, closed time.Time, err error) {
	c, err := net.Dial("tcp", fmt.Sprint(entry.address, ":", frontPort))
	if err != nil {
		return nil, time.Time{}, err
	}
	defer c.Close()
	began := time.Now()
	for k := range v.requests {
		id := fmt.Sprintf("%08x%08x", n+1, k+1)
		ids = append(ids, id)
		w.note("client %d sends %s to %s", n, id, entry.name)
		if _, err := io.WriteString(c, requestText(http.MethodGet, "/lepu270/"+id, id, 4*time.Second)); err != nil {
			return ids, time.Now(), nil
		}
		time.Sleep(patience / 3)
	}
	if v.leaves {
		time.Sleep(patience - time.Since(began))
		_ = c.Close()
		w.note("client %d leaves", n)
		return ids, time.Now(), nil
	}
	in := bufio.NewReader(c)
	for _, id := range ids {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			w.note("client %d gets no answer to %s: %v", n, id, err)
			return ids, time.Now(), nil
		}
		_, _ = io.Copy(io.Discard, res.Body)
		w.note("client %d gets %d for %s", n, res.StatusCode, id)
	}
	return ids, time.Now(), nil
}

// playGonePipelined: a fifth of the clients leave after half the objective. Two thirds of those had
// sent a second safe request before the first one was answered.
func playGonePipelined(w *world, trouble bool) ([]string, error) {
	const rounds, work = 30, 1200 * time.Millisecond
	entries, seen, err := startSmall(w, "safe", 20, work)
	if err != nil {
		return nil, err
	}
	type leaving struct {
		closed    time.Time
		pipelined bool
	}
	left := map[string]leaving{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failure error
	start := func(v visit, n int) {
		wg.Go(func() {
			ids, closed, err := w.pay(v, n, entries[n%len(entries)])
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = err
			}
			for _, id := range ids {
				if v.leaves {
					left[id] = leaving{closed, v.requests > 1}
				}
			}
		})
	}
	for round := range rounds {
		v := visit{requests: 2, leaves: trouble}
		if round%3 == 2 {
			v.requests = 1
		}
		start(v, 5*round)
		for other := range 4 {
			time.Sleep(100 * time.Millisecond)
			start(visit{requests: 1}, 5*round+1+other)
		}
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	if failure != nil {
		return nil, failure
	}
	// Counted are the requests that were at a server half a second after the close, or would have
	// been: all that began before and last that long.
	var late, working, lasting [2]int
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for _, x := range seen.all {
		l, ok := left[x.id]
		if !ok {
			continue
		}
		kind := 0
		if l.pipelined {
			kind = 1
		}
		limit := l.closed.Add(500 * time.Millisecond)
		switch {
		case x.began.After(limit):
			late[kind]++
		case x.began.Add(work).After(limit):
			lasting[kind]++
			if x.end.After(limit) {
				working[kind]++
			}
		}
	}
	for kind, name := range []string{"one request", "a second request sent ahead"} {
		w.note("clients that left with %s: %d requests reached a server more than 0.5 s later; servers were at work 0.5 s later on %d of %d",
			name, late[kind], working[kind], lasting[kind])
	}
	var broken []string
	if n := late[0] + late[1]; n > 3 {
		broken = append(broken, fmt.Sprintf("GONE: %d requests reached a server more than 0.5 s after their client had left", n))
	}
	if n, all := working[0]+working[1], lasting[0]+lasting[1]; 4*n > all {
		broken = append(broken, fmt.Sprintf("GONE: servers were at work 0.5 s after the client had left on %d of %d requests; %d of %d where one request was sent, %d of %d where a second one was sent ahead",
			n, all, working[0], lasting[0], working[1], lasting[1]))
	}
	return broken, nil
}
