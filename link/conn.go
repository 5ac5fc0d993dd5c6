package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The limits of a connection.
const (
	// dialTimeout bounds the opening of a connection. It is many times the
	// round trip between regions, and less than the 1 s after which the operating
	// system retransmits a lost SYN: dialling again is quicker.
	dialTimeout = 200 * time.Millisecond
	// pingPeriod is the time without a sent message after which a ping is sent.
	pingPeriod = 500 * time.Millisecond
	// idleTimeout closes a connection on which nothing has arrived. It spans
	// three pings.
	idleTimeout = 1600 * time.Millisecond
	// sendQueueCapacity bounds the messages that wait for the writer. A peer that
	// does not read is disconnected, so that it never blocks the sender.
	sendQueueCapacity = 4096
	// maxFrameBytes bounds one message, in bytes. It is several times the size
	// of a configuration of 10,000 routes.
	maxFrameBytes = 64 << 20
	// bufferBytes is the size of the read and of the write buffer, in bytes.
	bufferBytes = 16 << 10
)

// ErrClosed is returned for a message on a closed connection.
var ErrClosed = errors.New("link is closed")

// ErrOverflow is the reason for closing a connection whose peer reads too slowly.
var ErrOverflow = errors.New("link queue is full")

// Kind is the type of a message. Kinds below 16 are reserved for this package.
type Kind uint8

// The kinds that this package reserves.
const (
	kindPing Kind = iota
	kindCall
	kindReply
)

// Conn is a connection to a peer. Send is safe for concurrent use.
type Conn struct {
	netConn   net.Conn
	outgoing  chan []byte
	done      chan struct{}
	closeOnce sync.Once
	err       error

	// maxFrame bounds the messages that arrive, in bytes.
	maxFrame atomic.Uint64
	calls    callTable
}

// LimitFrames bounds the messages that arrive from now on, in bytes: longer ones are skipped. 0
// ends the bound; a message over maxFrameBytes always closes the connection.
func (c *Conn) LimitFrames(bytes uint64) {
	if bytes == 0 {
		bytes = maxFrameBytes
	}
	c.maxFrame.Store(bytes)
}

// Dial opens a connection to the address.
func Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return New(c), nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay
// unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(idleTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

// New wraps an open connection and starts the goroutine that writes to it.
func New(c net.Conn) *Conn {
	l := &Conn{netConn: c, outgoing: make(chan []byte, sendQueueCapacity), done: make(chan struct{})}
	l.LimitFrames(0)
	go l.writeLoop()
	return l
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.netConn.RemoteAddr() }

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns the reason why the connection ended. It is valid after Done is
// closed.
func (c *Conn) Err() error { return c.err }

// Close closes the connection with [ErrClosed].
func (c *Conn) Close() { c.closeWithReason(ErrClosed) }

// closeWithReason closes the connection once and fails its calls. The first
// reason is kept.
func (c *Conn) closeWithReason(reason error) {
	c.closeOnce.Do(func() {
		c.err = reason
		close(c.done)
		_ = c.netConn.Close()
		c.calls.closeAll(reason)
	})
}

// Send queues a message without blocking. A full queue closes the connection.
func (c *Conn) Send(kind Kind, v any) error {
	body, err := Encode(v)
	if err != nil {
		return err
	}
	return c.enqueue(encodeFrame(kind, body))
}

// enqueue queues an encoded frame, or closes the connection if the queue is full.
func (c *Conn) enqueue(f []byte) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.outgoing <- f:
		return nil
	default:
		c.closeWithReason(ErrOverflow)
		return ErrOverflow
	}
}

// encodeFrame returns a frame: the length as a varint, the kind, and the body. The
// length counts the kind and the body.
func encodeFrame(kind Kind, body []byte) []byte {
	f := make([]byte, 0, binary.MaxVarintLen32+1+len(body))
	f = binary.AppendUvarint(f, uint64(len(body)+1))
	f = append(f, byte(kind))
	return append(f, body...)
}

// writeLoop writes queued frames, all that wait in one system call, and pings
// while there are none.
func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.netConn, bufferBytes)
	ping := time.NewTimer(pingPeriod)
	defer ping.Stop()
	pingFrame := encodeFrame(kindPing, nil)
	for {
		var next []byte
		select {
		case <-c.done:
			return
		case next = <-c.outgoing:
		case <-ping.C:
			next = pingFrame
		}
		ping.Reset(pingPeriod)
		if err := c.writeBatch(w, next); err != nil {
			c.closeWithReason(err)
			return
		}
	}
}

// writeBatch writes a frame and those queued behind it.
func (c *Conn) writeBatch(w *bufio.Writer, first []byte) error {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(idleTimeout))
	if _, err := w.Write(first); err != nil {
		return err
	}
	for {
		select {
		case next := <-c.outgoing:
			if _, err := w.Write(next); err != nil {
				return err
			}
		default:
			return w.Flush()
		}
	}
}

// MessageHandler handles a message. It runs on the reading goroutine and must not
// block.
type MessageHandler func(kind Kind, body []byte)

// CallHandler handles a call and returns its result. It runs on a goroutine of its
// own.
type CallHandler func(kind Kind, body []byte) (any, error)

// Run reads messages and calls the handlers until the connection ends, and returns
// the reason. A nil handleCall rejects calls by closing the connection.
func (c *Conn) Run(handleMessage MessageHandler, handleCall CallHandler) error {
	in := bufio.NewReaderSize(c.netConn, bufferBytes)
	for {
		_ = c.netConn.SetReadDeadline(time.Now().Add(idleTimeout))
		kind, body, err := readFrame(in, c.maxFrame.Load())
		if err != nil {
			c.closeWithReason(err)
			return c.err
		}
		switch kind {
		case kindPing:
		case kindCall:
			c.serveCall(body, handleCall)
		case kindReply:
			c.calls.deliverReply(body)
		default:
			handleMessage(kind, body)
		}
	}
}

// readFrame reads one frame and returns its kind and body. It returns a ping in place of a
// frame over the given length.
func readFrame(in *bufio.Reader, most uint64) (Kind, []byte, error) {
	size, err := binary.ReadUvarint(in)
	if err != nil {
		return 0, nil, err
	}
	if size == 0 || size > maxFrameBytes {
		return 0, nil, errors.Newf("frame of %d bytes, allowed are 1 to %d", size, maxFrameBytes)
	}
	if size > most {
		_, err := io.CopyN(io.Discard, in, int64(size))
		return kindPing, nil, err
	}
	body := make([]byte, min(size, firstPartBytes))
	if _, err := io.ReadFull(in, body); err != nil {
		return 0, nil, err
	}
	for uint64(len(body)) < size {
		read := len(body)
		body = append(body, make([]byte, min(uint64(read), size-uint64(read)))...)
		if _, err := io.ReadFull(in, body[read:]); err != nil {
			return 0, nil, err
		}
	}
	return Kind(body[0]), body[1:], nil
}

// firstPartBytes is the memory that a frame takes before its first byte. A longer one takes no
// more than twice what has arrived, whatever length it declares.
const firstPartBytes = 64 << 10

// SendEncoded queues a message that is already encoded by [Encode], so that it is
// encoded only once for many receivers.
func (c *Conn) SendEncoded(kind Kind, body []byte) error { return c.enqueue(encodeFrame(kind, body)) }
