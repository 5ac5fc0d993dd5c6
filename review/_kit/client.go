package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id, method, target string
	sentAt             time.Time
	// status is 0 without an answer.
	status    int
	signature string
	body      []byte
	header    http.Header
}

// newID returns a new Request-Id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request sends one request on a new connection, writes the request line as it is given
// and waits for the answer.
func request(w *world, p *process, method, host, target, body string, deadline time.Duration) answer {
	a := answer{id: newID(), method: method, target: target, sentAt: time.Now()}
	c, err := net.DialTimeout("tcp", w.front(p), time.Second)
	if err != nil {
		w.record.say("client: %s %s %s to %s: no connection", method, target, a.id, p.name)
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n", method, target, host, a.id, deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	w.record.say("client: sends %s %s %s to %s", method, target, a.id, p.name)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return a
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		w.record.say("client: %s gets no answer: %v", a.id, err)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		w.record.say("client: %s gets a cut answer: %v", a.id, err)
		return a
	}
	a.status, a.signature, a.body, a.header = res.StatusCode, res.Header.Get("Response-Signature"), text, res.Header
	w.record.say("client: %s gets %d, signature %q, body %q", a.id, a.status, a.signature, text)
	return a
}
