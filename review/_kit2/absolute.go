package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playAbsoluteForm: clients send orders whose target is in absolute form.
func playAbsoluteForm(w *world, trouble bool) ([]string, error) {
	const orders, path, body = 5, "/lepu270/2f?n=1", "five bells of bronze"
	entries, seen, err := startSmall(w, "unsafe", 4, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	for n := range orders {
		id := fmt.Sprintf("%016x", n+1)
		c, err := net.Dial("tcp", fmt.Sprint(entries[0].address, ":", frontPort))
		if err != nil {
			return nil, err
		}
		target := path
		if trouble {
			target = "http://jepu9.example" + path
		}
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 4000\r\nContent-Length: %d\r\n\r\n%s",
			target, id, len(body), body)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return nil, err
		}
		answer, _ := io.ReadAll(res.Body)
		w.note("client sends %s as POST %s, gets %d, signature %q: %s", id, target, res.StatusCode, res.Header.Get("Response-Signature"), answer)
		_ = c.Close()
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if !trouble && len(seen.all) != orders {
		return nil, fmt.Errorf("%d of %d orders ran", len(seen.all), orders)
	}
	var broken []string
	for _, x := range seen.all {
		if x.method != http.MethodPost || x.target != path {
			broken = append(broken, fmt.Sprintf("UNASKED: order %s ran as %s %s, sent was POST %s", x.id, x.method, x.target, path))
		}
	}
	return broken, nil
}
