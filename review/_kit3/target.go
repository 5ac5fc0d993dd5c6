package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// targetCase sends requests whose target is in absolute form, or, without trouble, in origin form, and reports whether an
// endpoint has run one with another path or query.
func targetCase(rec *record, trouble bool) (broken bool, err error) {
	d, all, _, err := setup(rec, 1, 2, 4, 5*time.Millisecond)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	changed, run := 0, 0
	for n := range 40 {
		id := fmt.Sprintf("t%d", n)
		method, target, body := http.MethodGet, fmt.Sprintf("/safe/2f%d?bell=%d", n, n), ""
		if n%2 == 1 {
			method, target, body = http.MethodPost, fmt.Sprintf("/once/9c%d?mould=%d", n, n), "two bells"
		}
		sent := target
		if trouble {
			sent = "http://h.example" + target
		}
		g := d.entries[n/2%len(d.entries)]
		status, answer, err := exchangeTarget(net.JoinHostPort(g.address, fmt.Sprint(d.frontPort())), method, sent, id, body)
		rec.line("sent %s %s %s to %s: status %d, %q, error %v", id, method, sent, g.name, status, answer, err)
		for _, r := range all.of(id) {
			run++
			rec.line("%s has run %s as %s %s for host %s", r.server, id, r.method, r.target, r.host)
			if r.method != method || r.target != target && r.target != "http://h.example"+target || r.bodySum != fmt.Sprintf("%x", sha256.Sum256([]byte(body))) {
				changed++
				rec.line("UNASKED: %s was sent for %s and has run as %s", id, target, r.target)
			}
		}
	}
	rec.line("%d of %d requests that have run were changed", changed, run)
	if run == 0 && !trouble {
		return false, fmt.Errorf("no request has run")
	}
	return changed > 0, nil
}

// exchangeTarget sends one request on a connection of its own.
func exchangeTarget(address, method, target, id, body string) (status int, answer string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 3000\r\nContent-Length: %d\r\n\r\n%s", method, target, id, len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}
