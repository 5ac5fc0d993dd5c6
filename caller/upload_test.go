package caller

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// receivedBody is what a backend server received of one body.
type receivedBody struct {
	bytes     int64
	sum       [sha256.Size]byte
	truncated bool
}

// uploadServer starts a server that records each body. For /s/early it responds
// without reading the body, and for /s/reset it closes the connection in the
// middle of the body.
func uploadServer(t *testing.T) (netip.AddrPort, <-chan receivedBody) {
	t.Helper()
	seen := make(chan receivedBody, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/s/check":
			return
		case "/s/early":
			control := http.NewResponseController(w)
			_ = control.EnableFullDuplex()
			w.WriteHeader(http.StatusForbidden)
			_ = control.Flush()
			seen <- receivedBody{truncated: true}
			return
		case "/s/reset":
			_, _ = io.CopyN(io.Discard, r.Body, 1)
			seen <- receivedBody{truncated: true}
			panic(http.ErrAbortHandler)
		}
		sum := sha256.New()
		n, err := io.Copy(sum, r.Body)
		u := receivedBody{bytes: n, truncated: err != nil}
		copy(u.sum[:], sum.Sum(nil))
		seen <- u
	}))
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Start()
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String()), seen
}

// uploadCase is one way to send a body.
type uploadCase struct {
	path     string
	size     int
	chunked  bool
	sent     int // bytes of the body that the caller sends before it closes; size for all
	digest   string
	status   int // of the response; 0 if the caller disconnects
	code     string
	complete bool
	unsent   bool // nothing of the body reaches the backend server
}

func uploadCases(limit int) []uploadCase {
	const right, wrong, malformed = "right", "wrong", "malformed"
	var all []uploadCase
	for _, chunks := range []bool{false, true} {
		for _, size := range []int{1, 3000, 300_000} {
			all = append(all,
				uploadCase{size: size, chunked: chunks, sent: size, status: 200, complete: true},
				uploadCase{size: size, chunked: chunks, sent: size, digest: right, status: 200, complete: true},
				uploadCase{size: size, chunked: chunks, sent: size, digest: wrong, status: 400, code: "digest_mismatch"},
				uploadCase{size: size, chunked: chunks, sent: size, digest: malformed, status: 400, code: "bad_digest", unsent: true},
				uploadCase{size: size, chunked: chunks, sent: size / 2},
				uploadCase{path: "/s/early", size: size, chunked: chunks, sent: size, status: 403},
			)
		}
		all = append(all,
			uploadCase{path: "/s/reset", size: 300_000, chunked: chunks, sent: 300_000, status: 502, code: "exchange_failed"},
			uploadCase{path: "/s/early", size: 300_000, chunked: chunks, sent: 1000, status: 403},
			uploadCase{
				size: limit + 1, chunked: chunks, sent: limit + 1,
				status: http.StatusRequestEntityTooLarge, code: "body_too_large", unsent: !chunks,
			},
		)
	}
	return all
}

func TestUploadsAreWholeOrSeenAsCut(t *testing.T) {
	for _, c := range uploadCases(1 << 20) {
		name := fmt.Sprintf("%s %d of %d chunks=%v %s", c.path, c.sent, c.size, c.chunked, c.digest)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// check sends the body and checks the response and what the server received.
func (c uploadCase) check(t *testing.T) {
	address, seen := uploadServer(t)
	e := startEntry(address)
	defer e.stop()
	body := bytes.Repeat([]byte("tamga"), c.size/5+1)[:c.size]
	conn, err := net.Dial("tcp", e.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	go func() {
		c.write(conn, body)
		if c.sent < c.size && c.status == 0 {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}()
	if c.status != 0 {
		c.checkResponse(t, conn)
	}
	if c.unsent {
		return
	}
	u := awaitUpload(t, seen, conn)
	if whole := !u.truncated && u.bytes == int64(c.size) && u.sum == sha256.Sum256(body); whole != c.complete {
		t.Errorf("the backend server received %d bytes, truncated %v; want complete %v", u.bytes, u.truncated, c.complete)
	}
	res, err := http.Get(e.URL + "/s/check")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("the next request: %v, %v", res, err)
	}
	_ = res.Body.Close()
}

// uploadTimeout bounds the wait until the backend server has received a body.
const uploadTimeout = 30 * time.Second

// awaitUpload returns what the backend server received. If it receives nothing, as
// when the entry can't connect to it, the test fails with the caller's response.
func awaitUpload(t *testing.T, seen <-chan receivedBody, conn net.Conn) receivedBody {
	t.Helper()
	select {
	case u := <-seen:
		return u
	case <-time.After(uploadTimeout):
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	response, _ := io.ReadAll(conn)
	t.Fatalf("the backend server received no body; the caller's response: %.200q", response)
	return receivedBody{}
}

// write writes the request with the first c.sent bytes of the body.
func (c uploadCase) write(w io.Writer, body []byte) {
	path := c.path
	if path == "" {
		path = "/s/upload"
	}
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "POST %s HTTP/1.1\r\nHost: h\r\n", path)
	sum := sha256.Sum256(body)
	switch c.digest {
	case "wrong":
		sum[0]++
		fallthrough
	case "right":
		fmt.Fprintf(out, "%s: sha-256=:%s:\r\n", request.DigestHeader, base64.StdEncoding.EncodeToString(sum[:]))
	case "malformed":
		fmt.Fprintf(out, "%s: sha-256=%x\r\n", request.DigestHeader, sum)
	}
	if c.chunked {
		fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", c.size)
	} else {
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n", c.size)
	}
	_, _ = out.Write(body[:c.sent])
	if c.chunked && c.sent == c.size {
		fmt.Fprint(out, "\r\n0\r\n\r\n")
	}
	_ = out.Flush()
}

// checkResponse checks the status, code and verdict of the caller's response.
func (c uploadCase) checkResponse(t *testing.T, conn net.Conn) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != c.status {
		t.Fatalf("response %d %s, %v; want %d", res.StatusCode, text, err, c.status)
	}
	if !bytes.Contains(text, []byte(c.code)) {
		t.Errorf("response %s, want code %q", text, c.code)
	}
	if told := res.Header.Get(verdict.Header); told == verdict.NotRun.String() && !c.unsent {
		t.Errorf("verdict %s on a body of which a part was sent", told)
	}
}
