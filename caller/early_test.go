package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// TestEarlyAnswerIsNotLost sends a chunked body to a backend server that answers
// before the body has ended. The caller reads the answer only after it has sent
// the rest: an entry that closed the connection while bytes arrive would reset it,
// and the answer would be lost.
func TestEarlyAnswerIsNotLost(t *testing.T) {
	for range 10 {
		answered := make(chan struct{})
		address := earlyServer(t, answered)
		e := startEntry(address)
		conn, err := net.Dial("tcp", e.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, "POST /s/upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ntamga\r\n")
		<-answered
		// Gives the entry time to forward the answer.
		time.Sleep(30 * time.Millisecond)
		part := bytes.Repeat([]byte("t"), 1000)
		for range 20 {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part); err != nil {
				t.Fatalf("the connection broke while the body was sent: %v", err)
			}
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer was received: %v", err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != "ok" {
			t.Errorf("answer %q, %v", body, err)
		}
		_ = conn.Close()
		e.stop()
	}
}

// earlyServer starts a server that answers one request as soon as it has read the
// header, and continues to read.
func earlyServer(t *testing.T, answered chan struct{}) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		close(answered)
		_, _ = io.Copy(io.Discard, in)
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}
