package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The limits of a connection.
const (
	// dialTimeout bounds the opening of a connection. It is many times the
	// round trip between regions and less than the second after which a system
	// repeats a lost opening: dialling again is quicker.
	dialTimeout = 200 * time.Millisecond
	// pingPeriod is the time without a sent message after which a ping goes out.
	pingPeriod = 500 * time.Millisecond
	// silenceLimit ends a connection on which nothing arrived: three pings.
	silenceLimit = 1600 * time.Millisecond
	// queueCapacity bounds the messages that wait for the writer. A peer that
	// does not read loses its connection in place of blocking the sender.
	queueCapacity = 4096
	// maxFrameBytes bounds one message, in bytes: a configuration of 10,000
	// routes fits several times.
	maxFrameBytes = 64 << 20
	// bufferBytes is the size of the read and of the write buffer, in bytes.
	bufferBytes = 16 << 10
)

// ErrClosed is the error of a message on a connection that has ended.
var ErrClosed = errors.New("link is closed")

// ErrOverflow ends a connection whose peer reads too slowly.
var ErrOverflow = errors.New("link queue is full")

// Kind names a message's type. Kinds below 16 belong to this package.
type Kind uint8

// The kinds of this package.
const (
	kindPing Kind = iota
	kindCall
	kindReply
)

// Conn is one connection. Send may be called from any goroutine.
type Conn struct {
	net  net.Conn
	out  chan []byte
	done chan struct{}
	once sync.Once
	err  error

	calls callTable
}

// Dial opens a connection to the address.
func Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: limitUnacknowledged}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return New(c), nil
}

// limitUnacknowledged bounds how long sent bytes may stay unacknowledged.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// New wraps an open connection and starts its writer.
func New(c net.Conn) *Conn {
	l := &Conn{net: c, out: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go l.write()
	return l
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.net.RemoteAddr() }

// Done is closed once the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended; valid after Done.
func (c *Conn) Err() error { return c.err }

// Close ends the connection.
func (c *Conn) Close() { c.end(ErrClosed) }

// end ends the connection for a reason.
func (c *Conn) end(reason error) {
	c.once.Do(func() {
		c.err = reason
		close(c.done)
		_ = c.net.Close()
		c.calls.fail(reason)
	})
}

// Send queues a message without blocking. A full queue ends the connection.
func (c *Conn) Send(kind Kind, v any) error {
	body, err := Encode(v)
	if err != nil {
		return err
	}
	return c.queue(frame(kind, body))
}

// queue queues an encoded frame.
func (c *Conn) queue(f []byte) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.out <- f:
		return nil
	default:
		c.end(ErrOverflow)
		return ErrOverflow
	}
}

// frame prefixes a body with its length and its kind.
func frame(kind Kind, body []byte) []byte {
	f := make([]byte, 0, binary.MaxVarintLen32+1+len(body))
	f = binary.AppendUvarint(f, uint64(len(body)+1))
	f = append(f, byte(kind))
	return append(f, body...)
}

// write writes queued frames, as many as wait in one system call, and a ping
// while there are none.
func (c *Conn) write() {
	w := bufio.NewWriterSize(c.net, bufferBytes)
	ping := time.NewTimer(pingPeriod)
	defer ping.Stop()
	empty := frame(kindPing, nil)
	for {
		var next []byte
		select {
		case <-c.done:
			return
		case next = <-c.out:
		case <-ping.C:
			next = empty
		}
		ping.Reset(pingPeriod)
		if err := c.writeBatch(w, next); err != nil {
			c.end(err)
			return
		}
	}
}

// writeBatch writes a frame and those that wait behind it.
func (c *Conn) writeBatch(w *bufio.Writer, first []byte) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(silenceLimit))
	if _, err := w.Write(first); err != nil {
		return err
	}
	for {
		select {
		case next := <-c.out:
			if _, err := w.Write(next); err != nil {
				return err
			}
		default:
			return w.Flush()
		}
	}
}

// MessageHandler takes in a message. It runs on the reading goroutine and must not
// block.
type MessageHandler func(kind Kind, body []byte)

// CallHandler answers a call; it runs on a goroutine of its own.
type CallHandler func(kind Kind, body []byte) (any, error)

// Run reads until the connection ends and returns why it did.
func (c *Conn) Run(handle MessageHandler, answer CallHandler) error {
	in := bufio.NewReaderSize(c.net, bufferBytes)
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(silenceLimit))
		kind, body, err := readFrame(in)
		if err != nil {
			c.end(err)
			return c.err
		}
		switch kind {
		case kindPing:
		case kindCall:
			c.serveCall(body, answer)
		case kindReply:
			c.calls.finish(body)
		default:
			handle(kind, body)
		}
	}
}

// readFrame reads one frame.
func readFrame(in *bufio.Reader) (Kind, []byte, error) {
	size, err := binary.ReadUvarint(in)
	if err != nil {
		return 0, nil, err
	}
	if size == 0 || size > maxFrameBytes {
		return 0, nil, errors.Newf("frame of %d bytes, allowed are 1 to %d", size, maxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return 0, nil, err
	}
	return Kind(body[0]), body[1:], nil
}

// SendEncoded queues a message that [Encode] encoded before, so that one
// encoding serves many receivers.
func (c *Conn) SendEncoded(kind Kind, body []byte) error { return c.queue(frame(kind, body)) }
