package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// crowdSize is the number of connections of a crowd. It is above the descriptors that a
// process may have.
const crowdSize = 500

// The times of a crowd.
const (
	// settled is the time without progress after which a member of the crowd stops.
	settled = 2 * time.Second
	// slowTime is how long a slow member sends or reads a byte at a time, and slowPause
	// the time between two bytes.
	slowTime, slowPause = 8 * time.Second, 100 * time.Millisecond
)

// member sends something on a connection and returns when it makes no more progress. The
// connection stays open.
type member func(c net.Conn)

// gather connects a crowd to an address and returns when all its members have stopped.
// The connections stay open until the returned function closes them.
func gather(address string, size int, act member) (leave func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var acting sync.WaitGroup
	for range size {
		acting.Go(func() {
			c, err := net.DialTimeout("tcp", address, settled)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			act(c)
		})
	}
	acting.Wait()
	time.Sleep(settled)
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// send sends bytes in pieces of the given size until nothing is taken for a while, and
// reports whether all were.
func send(c net.Conn, data []byte, piece int) bool {
	for len(data) > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(settled))
		n, err := c.Write(data[:min(piece, len(data))])
		if err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}

// drip sends bytes one at a time.
func drip(c net.Conn, data []byte) {
	for i := range min(len(data), int(slowTime/slowPause)) {
		if !send(c, data[i:i+1], 1) {
			return
		}
		time.Sleep(slowPause)
	}
}

// sip reads a byte at a time.
func sip(c net.Conn) {
	for range int(slowTime / slowPause) {
		_ = c.SetReadDeadline(time.Now().Add(settled))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			return
		}
		time.Sleep(slowPause)
	}
}

// whole is the size of the pieces of what is sent in one piece.
const whole = 1 << 20

// head returns the head of a request with further header lines.
func head(method, path, lines string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\n%s\r\n", method, path, lines)
}

// shortBytes is the length of the bodies that end one byte early: legal for each target,
// and a crowd of them is many times the memory.
const shortBytes = 1 << 20

// shortBody sends a body of legal size in pieces and stops one byte before its end.
func shortBody(path string, length, piece int) member {
	message := append(head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", length)), bytes.Repeat([]byte("b"), length-1)...)
	return func(c net.Conn) { send(c, message, piece) }
}

// shortChunks sends a body in chunks and leaves out the last line.
func shortChunks(path string, length, chunk int) member {
	message := head("POST", path, "Transfer-Encoding: chunked\r\n")
	for range length / chunk {
		message = fmt.Appendf(message, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte("b"), chunk))
	}
	message = append(message, "0\r\n"...)
	return func(c net.Conn) { send(c, message, whole) }
}

// hugeBody declares a body far over any limit and sends its beginning.
func hugeBody(path string) member {
	message := append(head("POST", path, "Content-Length: 1099511627776\r\n"), bytes.Repeat([]byte("b"), 8<<20)...)
	return func(c net.Conn) { send(c, message, whole) }
}

// endlessChunks sends a body far over any limit in chunks.
func endlessChunks(path string) member {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", 64<<10, bytes.Repeat([]byte("b"), 64<<10))
	return func(c net.Conn) {
		sent := send(c, head("POST", path, "Transfer-Encoding: chunked\r\n"), whole)
		for n := 0; sent && n < 640; n++ {
			sent = send(c, chunk, whole)
		}
	}
}

// fields returns header lines of about the given length in bytes, as short as distinct
// ones can be.
func fields(length int) string {
	var b strings.Builder
	for n := 0; b.Len() < length; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// legalHead is the length of the short fields of a head of legal size, which counts the space
// that they leave out.
const legalHead = 13 << 10

// manyFields sends a head of legal size made of short fields, and stops before the only
// byte of its body, so that the request stays.
func manyFields(path string) member {
	message := head("POST", path, "Content-Length: 1\r\n"+fields(legalHead))
	return func(c net.Conn) { send(c, message, whole) }
}

// longHead sends a head far over any limit without its end.
func longHead(path string) member {
	message := head("POST", path, fields(240<<10))
	message = message[:len(message)-2]
	return func(c net.Conn) { send(c, message, whole) }
}

// trailers sends a short body in chunks with long extensions, and trailers without an end.
func trailers(path string) member {
	message := head("POST", path, "Transfer-Encoding: chunked\r\n")
	for range 200 {
		message = fmt.Appendf(message, "1;%s\r\nb\r\n", strings.Repeat("e", 3<<10))
	}
	message = append(message, "0\r\n"+fields(240<<10)...)
	return func(c net.Conn) { send(c, message, whole) }
}

// sentAhead sends many requests one after the other and reads no answer.
func sentAhead(path string) member {
	message := bytes.Repeat(head("GET", path, ""), 400)
	return func(c net.Conn) { send(c, message, whole) }
}

// sentAheadWithFields sends many requests of short fields one after the other and reads
// no answer.
func sentAheadWithFields(path string) member {
	message := bytes.Repeat(head("GET", path, fields(legalHead)), 20)
	return func(c net.Conn) { send(c, message, whole) }
}

// slowHead sends a head a byte at a time.
func slowHead(path string) member {
	return func(c net.Conn) { drip(c, head("GET", path, fields(legalHead))) }
}

// slowBody sends a body of legal size a byte at a time, after most of it.
func slowBody(path string, length int) member {
	message := append(head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", length)), bytes.Repeat([]byte("b"), length/2)...)
	return func(c net.Conn) {
		if send(c, message, whole) {
			drip(c, bytes.Repeat([]byte("b"), 1000))
		}
	}
}

// halfHead stops in the middle of a head.
func halfHead(path string) member {
	return func(c net.Conn) { send(c, head("GET", path, "")[:20], whole) }
}

// slowReader sends a request and reads the answer a byte at a time.
func slowReader(path string) member {
	return func(c net.Conn) {
		if send(c, head("GET", path, ""), whole) {
			sip(c)
		}
	}
}

// largeFrame sends a message of the internal protocol that declares many bytes, sends most
// of them and stops.
func largeFrame(declared, sent int) member {
	message := append(binary.AppendUvarint(nil, uint64(declared)), bytes.Repeat([]byte{40}, sent)...)
	return func(c net.Conn) { send(c, message, whole) }
}
