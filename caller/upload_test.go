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

	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// upload is what a backend server saw of one body.
type upload struct {
	bytes int64
	sum   [sha256.Size]byte
	cut   bool
}

// uploadServer records each body. For /s/early it answers without reading it,
// for /s/reset it breaks the connection amid it.
func uploadServer(t *testing.T) (netip.AddrPort, <-chan upload) {
	t.Helper()
	seen := make(chan upload, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/s/check":
			return
		case "/s/early":
			control := http.NewResponseController(w)
			_ = control.EnableFullDuplex()
			w.WriteHeader(http.StatusForbidden)
			_ = control.Flush()
			seen <- upload{cut: true}
			return
		case "/s/reset":
			_, _ = io.CopyN(io.Discard, r.Body, 1)
			seen <- upload{cut: true}
			panic(http.ErrAbortHandler)
		}
		sum := sha256.New()
		n, err := io.Copy(sum, r.Body)
		u := upload{bytes: n, cut: err != nil}
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
	path   string
	size   int
	chunks bool
	sent   int // bytes that the caller sends before it closes; size for all
	digest string
	status int // of the answer; 0 if the caller is gone
	code   string
	whole  bool
	none   bool // nothing reaches the backend server
}

func uploadCases(limit int) []uploadCase {
	const right, wrong, malformed = "right", "wrong", "malformed"
	var all []uploadCase
	for _, chunks := range []bool{false, true} {
		for _, size := range []int{1, 3000, 300_000} {
			all = append(all,
				uploadCase{size: size, chunks: chunks, sent: size, status: 200, whole: true},
				uploadCase{size: size, chunks: chunks, sent: size, digest: right, status: 200, whole: true},
				uploadCase{size: size, chunks: chunks, sent: size, digest: wrong, status: 400, code: "digest_mismatch"},
				uploadCase{size: size, chunks: chunks, sent: size, digest: malformed, status: 400, code: "bad_digest", none: true},
				uploadCase{size: size, chunks: chunks, sent: size / 2},
				uploadCase{path: "/s/early", size: size, chunks: chunks, sent: size, status: 403},
			)
		}
		all = append(all,
			uploadCase{path: "/s/reset", size: 300_000, chunks: chunks, sent: 300_000, status: 502, code: "exchange_failed"},
			uploadCase{path: "/s/early", size: 300_000, chunks: chunks, sent: 1000, status: 403},
			uploadCase{
				size: limit + 1, chunks: chunks, sent: limit + 1,
				status: http.StatusRequestEntityTooLarge, code: "body_too_large", none: !chunks,
			},
		)
	}
	return all
}

func TestUploadsAreWholeOrSeenAsCut(t *testing.T) {
	for _, c := range uploadCases(1 << 20) {
		name := fmt.Sprintf("%s %d of %d chunks=%v %s", c.path, c.sent, c.size, c.chunks, c.digest)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// check sends the body and holds the answer against what the server saw.
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
		c.checkAnswer(t, conn)
	}
	if c.none {
		return
	}
	u := <-seen
	if whole := !u.cut && u.bytes == int64(c.size) && u.sum == sha256.Sum256(body); whole != c.whole {
		t.Errorf("the backend server saw %d bytes, cut %v; want whole %v", u.bytes, u.cut, c.whole)
	}
	res, err := http.Get(e.URL + "/s/check")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("the next request: %v, %v", res, err)
	}
	_ = res.Body.Close()
}

// write writes the request as far as the case says.
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
	if c.chunks {
		fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", c.size)
	} else {
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n", c.size)
	}
	_, _ = out.Write(body[:c.sent])
	if c.chunks && c.sent == c.size {
		fmt.Fprint(out, "\r\n0\r\n\r\n")
	}
	_ = out.Flush()
}

// checkAnswer checks the answer that the caller gets.
func (c uploadCase) checkAnswer(t *testing.T, conn net.Conn) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != c.status {
		t.Fatalf("answer %d %s, %v; want %d", res.StatusCode, text, err, c.status)
	}
	if !bytes.Contains(text, []byte(c.code)) {
		t.Errorf("answer %s, want code %q", text, c.code)
	}
	if told := res.Header.Get(verdict.Header); told == verdict.NotRun.String() && !c.none {
		t.Errorf("verdict %s on a body of which a part was sent", told)
	}
}
