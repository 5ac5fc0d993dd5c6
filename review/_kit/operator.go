package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends orders to the machines that serve control.
type operator struct {
	w      *world
	client *http.Client
}

// newOperator returns an operator that waits a second for each answer.
func newOperator(w *world) *operator {
	return &operator{w, &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// sendTo sends an order to one machine and returns the status; 0 without an answer.
func (o *operator) sendTo(p *process, call, of, body string) int {
	url := fmt.Sprintf("http://%s/tanagerbarrow/rpc?call=%s", o.w.control(p), call)
	if of != "" {
		url += "&of=" + of
	}
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	res, err := o.client.Post(url, "application/json", in)
	if err != nil {
		o.w.record.say("operator: %s %s to %s: no answer", call, of, p.name)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusOK {
		o.w.record.say("operator: %s %s to %s: %d %s", call, of, p.name, res.StatusCode, strings.TrimSpace(string(text)))
		return res.StatusCode
	}
	o.w.record.say("operator: %s %s to %s: acknowledged", call, of, p.name)
	return res.StatusCode
}

// send sends an order to one machine after the other until it is acknowledged, the given
// machines first.
func (o *operator) send(call, of, body string, limit time.Duration, first ...*process) bool {
	order := append(first, o.w.ofRole("coordinator")...)
	until := time.Now().Add(limit)
	for n := 0; time.Now().Before(until); n++ {
		if o.sendTo(order[n%len(order)], call, of, body) == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
