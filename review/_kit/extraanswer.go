package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The dose of the extra answers: the largest that the site file names for `garble` with
// `extra late`.
const (
	extraServers = 0.6
	extraAnswers = 0.03
	// extraSpan is how long it lasts at a time, and extraPause the time until it comes again.
	extraSpan  = 5 * time.Second
	extraPause = time.Second
)

// inExtraSpan reports whether endpoints send extra answers now.
func inExtraSpan(started time.Time) bool {
	return time.Since(started)%(extraSpan+extraPause) < extraSpan
}

// extraAnswer lets some endpoints send a second copy of some answers late, at the point where
// the next answer on the connection is expected. No client may get such a copy.
func extraAnswer(w *world) []string {
	for _, zone := range []string{"za", "zb", "zc", "za", "zb"} {
		w.addProcess("coordinator", zone)
	}
	// The endpoints are in zone zb; its gateway checks them.
	var gateways []*process
	for range 15 {
		gateways = append(gateways, w.addProcess("gateway", "za"))
	}
	w.addProcess("gateway", "zb")
	w.startAll(newOperator(w), configuration(1, "orders", "shop.example", "/orders/", "unsafe", 4000))
	log := &runLog{}
	const endpoints = 10
	started := time.Now()
	for n := range endpoints {
		e := startEndpoint(w, log, fmt.Sprintf("i-%d", n), "orders", "zb", 2, func() time.Duration { return 800 * time.Millisecond })
		if w.trouble && float64(n+1) <= extraServers*endpoints {
			e.extra = func(bool) bool { return inExtraSpan(started) && rand.Float64() < extraAnswers }
		}
		go e.beat("ready")
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	until := time.Now().Add(95 * time.Second)
	for _, p := range gateways {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				a := request(w, p, http.MethodPost, "shop.example", fmt.Sprintf("/orders/%d", n), "two bells", 5*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	runs := map[string][]run{}
	for _, r := range log.all() {
		runs[r.id] = append(runs[r.id], r)
	}
	var breaks []string
	served := 0
	for _, a := range answers {
		if a.status >= 200 && a.status < 300 {
			served++
			if !signedByRun(a, runs[a.id]) {
				breaks = append(breaks, fmt.Sprintf("MIXED: the client of request %s got %d with body %q and signature %q, which no endpoint gave it",
					a.id, a.status, a.body, a.signature))
			}
		}
		if len(runs[a.id]) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s ran %d times", a.id, len(runs[a.id])))
		}
	}
	w.record.say("%d requests, %d answered with success", len(answers), served)
	if served == 0 {
		cannotRun("no request was served")
	}
	return breaks
}

// signedByRun reports whether an answer bears the signature of an endpoint that ran the
// request, for the body that arrived.
func signedByRun(a answer, runs []run) bool {
	for _, r := range runs {
		if a.signature != "" && a.signature == signature(a.id, r.endpoint, a.body) {
			return true
		}
	}
	return false
}
