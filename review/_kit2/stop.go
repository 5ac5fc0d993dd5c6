package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The uploads of the planned stop.
const (
	// uploadBytes is below the largest body of the site's uploads, 360,000 bytes.
	uploadBytes = 280_000
	uploads     = 2
	// uploadDeadline is the time budget of the site's uploads, and uploadTimeout the timeout of
	// their route.
	uploadDeadline = 12 * time.Second
	uploadTimeout  = 12 * time.Second
	// lossSlack is the bound lossSlackMs.
	lossSlack = 200 * time.Millisecond
	// uploadAfter is when the uploads begin, after the signal. The platform probes once a second and
	// takes the entry out of rotation after two misses, so not before.
	uploadAfter = 950 * time.Millisecond
)

// uploadResult is what a client saw of its upload.
type uploadResult struct {
	id             string
	began          time.Time
	lastByte, ends time.Time
	status         int
	err            error
}

// upload sends one body on a new connection, as fast as the entry takes it, and reads the answer.
func (w *world) upload(entry *process, id string) uploadResult {
	r := uploadResult{id: id, began: time.Now()}
	c, err := net.Dial("tcp", fmt.Sprint(entry.address, ":", frontPort))
	if err != nil {
		r.err, r.ends = err, time.Now()
		return r
	}
	defer c.Close()
	// A small buffer, so that what was written has left the client.
	_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	w.note("client sends %s to %s: %d bytes", id, entry.name, uploadBytes)
	lastByte := make(chan time.Time, 1)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /fiti832/%s HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nContent-Length: %d\r\n\r\n",
			id, id, uploadDeadline.Milliseconds(), uploadBytes)
		part := make([]byte, 4096)
		for left := uploadBytes; left > 0; {
			n, err := c.Write(part[:min(left, len(part))])
			left -= n
			if err != nil {
				w.note("client can't send the rest of %s, %d bytes: %v", id, left, err)
				return
			}
		}
		lastByte <- time.Now()
		w.note("client has sent the last byte of %s", id)
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		r.status = res.StatusCode
		_, err = io.Copy(io.Discard, res.Body)
	}
	r.err, r.ends = err, time.Now()
	select {
	case r.lastByte = <-lastByte:
	default:
	}
	w.note("client gets %d for %s, error %v", r.status, id, err)
	return r
}

// uploadServer is a backend server that notes when a request begins to arrive, runs, and breaks off.
type uploadServer struct {
	*server
	mu sync.Mutex
	// arrived holds when the head of each request arrived, and atWork when it began to run.
	arrived, atWork map[string]time.Time
}

func (s *uploadServer) handle(rw http.ResponseWriter, r *http.Request) {
	if r.RequestURI == "/health" {
		s.health(rw, r)
		return
	}
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.arrived[id] = time.Now()
	s.mu.Unlock()
	s.w.note("the head of %s arrives at server %s", id, s.id)
	s.serve(rw, r)
}

// playStopUpload: an entry with a thin link is stopped as planned. While the platform still sends it
// new connections, two clients begin uploads of a usual size.
func playStopUpload(w *world, trouble bool) ([]string, error) {
	entries, err := w.startAll(w.zone(0), w.zone(1), w.zone(2))
	if err != nil {
		return nil, err
	}
	if _, err := w.order("call=configuration.put", configurationText(1,
		[]string{routeText("r-1", "/fiti832/", "upload", "wuno96b", uploadTimeout)}, []string{serviceText("wuno96b")}), 15*time.Second); err != nil {
		return nil, err
	}
	var servers []*uploadServer
	for n := range 5 {
		s := &uploadServer{server: &server{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: "wuno96b", zone: w.zone(n % controlHosts),
			address: fmt.Sprint(w.prefix, 100+n, ":", serverPort), work: 260 * time.Millisecond, firstControl: n,
		}, arrived: map[string]time.Time{}, atWork: map[string]time.Time{}}
		s.onRun = func(_ *server, r *http.Request, body []byte, at time.Time) {
			id := r.Header.Get("Request-Id")
			w.noteAt(at, "server %s runs %s, %d bytes", s.id, id, len(body))
			s.mu.Lock()
			s.atWork[id] = at
			s.mu.Unlock()
		}
		s.handler = http.HandlerFunc(s.handle)
		if err := w.startServer(s.server); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	for _, e := range entries {
		if err := w.ready(e, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	if r := w.upload(entries[1], "00000000000000aa"); r.status != http.StatusOK {
		return nil, errors.New("an upload in calm was not served")
	}
	stopped := time.Now()
	if trouble {
		w.signal(entries[0], syscall.SIGTERM)
	}
	time.Sleep(uploadAfter)
	results := make([]uploadResult, uploads)
	var wg sync.WaitGroup
	for n := range uploads {
		wg.Go(func() { results[n] = w.upload(entries[0], fmt.Sprintf("%016x", n+1)) })
	}
	wg.Wait()
	select {
	case <-entries[0].ended:
		w.note("%s has ended", entries[0].name)
	case <-time.After(2 * time.Second):
	}
	var broken []string
	for _, r := range results {
		if r.err == nil && r.status != 0 {
			continue
		}
		var arrived, atWork time.Time
		for _, s := range servers {
			s.mu.Lock()
			if at, ok := s.arrived[r.id]; ok {
				arrived = at
			}
			if at, ok := s.atWork[r.id]; ok {
				atWork = at
			}
			s.mu.Unlock()
		}
		w.note("upload %s: began %.3f s after the signal, last byte %.3f s, head at a server %.3f s, closed without an answer %.3f s; at work: %v",
			r.id, r.began.Sub(stopped).Seconds(), r.lastByte.Sub(stopped).Seconds(), arrived.Sub(stopped).Seconds(), r.ends.Sub(stopped).Seconds(), !atWork.IsZero())
		read := !r.lastByte.IsZero() && r.ends.Sub(r.lastByte) > lossSlack
		// A request at which a server was at work is excused by its being sent within 3 s of the signal.
		if read && !arrived.IsZero() && atWork.IsZero() && r.ends.Sub(r.began) < uploadTimeout {
			broken = append(broken, fmt.Sprintf("LOST: upload %s was read whole and being passed on, and its connection ended without an answer %.1f s after its last byte was sent, %.1f s after the signal",
				r.id, r.ends.Sub(r.lastByte).Seconds(), r.ends.Sub(stopped).Seconds()))
		}
	}
	return broken, nil
}
