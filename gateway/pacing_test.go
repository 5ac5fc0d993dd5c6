package gateway

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// packetBytes is the size of a packet of the simulated link.
const packetBytes = 1460

// packet is in transit on a simulated link.
type packet struct {
	bytes   int
	deliver func()
}

// thinLink transmits packets one after the other at a rate in bytes per second.
type thinLink struct {
	rate  int
	queue chan packet
}

// run transmits packets until the queue is closed.
func (l *thinLink) run() {
	for p := range l.queue {
		time.Sleep(time.Duration(p.bytes) * time.Second / time.Duration(l.rate))
		p.deliver()
	}
}

// sendControl sends a short message and returns the time until it is delivered.
func (l *thinLink) sendControl() time.Duration {
	sent, delivered := time.Now(), make(chan struct{})
	l.queue <- packet{200, func() { close(delivered) }}
	<-delivered
	return time.Since(sent)
}

// sentBody is a body that arrives over a simulated link. Its sender keeps at most
// a window of data that was not read yet in transit.
type sentBody struct {
	unread  chan struct{}
	arrived chan int
}

// send starts to send a body of the given number of packets.
func (l *thinLink) send(packets, windowBytes int) *sentBody {
	window := max(1, windowBytes/packetBytes)
	b := &sentBody{make(chan struct{}, window), make(chan int, window)}
	go func() {
		for n := range packets {
			b.unread <- struct{}{}
			l.queue <- packet{packetBytes, func() {
				b.arrived <- packetBytes
				if n == packets-1 {
					close(b.arrived)
				}
			}}
		}
	}()
	return b
}

// Read reads one packet.
func (b *sentBody) Read([]byte) (int, error) {
	n, more := <-b.arrived
	if !more {
		return 0, io.EOF
	}
	<-b.unread
	return n, nil
}

// longestControlDelay uploads four bodies of 600 kB at once over a link of 2 Mbit/s
// and returns the longest delay of a control message meanwhile, and the time that
// the uploads took.
func longestControlDelay(windowBytes int, pacer *linkPacer) (longest, took time.Duration) {
	const linkRate, uploads, packets = 250_000, 4, 600_000 / packetBytes
	link := &thinLink{linkRate, make(chan packet, 10_000)}
	go link.run()
	done := make(chan struct{}, uploads)
	for range uploads {
		go func() {
			_, _ = io.Copy(io.Discard, pacer.incoming(context.Background(), link.send(packets, windowBytes), packets*packetBytes))
			done <- struct{}{}
		}()
	}
	begun := time.Now()
	for finished := 0; finished < uploads; {
		time.Sleep(50 * time.Millisecond)
		longest = max(longest, link.sendControl())
		select {
		case <-done:
			finished++
		default:
		}
	}
	close(link.queue)
	return longest, time.Since(begun)
}

// TestUploadsLeaveRoomForControlMessages fills a thin link with uploads. A message
// of the broker must not wait longer than a dial to it may take, and the uploads must
// still use nearly the whole link. With the operating system's buffers and without
// pacing, the message waits for seconds: the entry lost its broker and obeyed an old
// configuration.
func TestUploadsLeaveRoomForControlMessages(t *testing.T) {
	const linkRate, maxDelay = 250_000, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		if delay, _ := longestControlDelay(256<<10, nil); delay < time.Second {
			t.Errorf("without pacing a message waits %v; the load does not fill the link", delay)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		delay, took := longestControlDelay(callerReceiveBuffer(linkRate), newLinkPacer(linkRate))
		if delay > maxDelay {
			t.Errorf("a message waits %v, allowed are %v", delay, maxDelay)
		}
		if least := 4 * 600 * time.Second / 250; took > least*11/10 {
			t.Errorf("the uploads took %v, the link needs %v", took, least)
		}
		t.Logf("a message waits up to %v; the uploads took %v", delay, took)
	})
}

// TestBodiesShareTheLink sends two bodies at once and a short one: the long ones get
// the link's share together, and the short one is not delayed.
func TestBodiesShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const linkRate, length = 100_000, 94_000
		p := newLinkPacer(linkRate)
		if p.outgoing(t.Context(), minPacedBytes-1) != nil {
			t.Error("a short body is paced")
		}
		short := strings.NewReader("short")
		if p.incoming(t.Context(), short, short.Size()) != io.Reader(short) {
			t.Error("a short body that comes in is paced")
		}
		begun := time.Now()
		done := make(chan struct{}, 2)
		for range 2 {
			pace := p.outgoing(t.Context(), length)
			go func() {
				for sent := 0; sent < length; sent += pacedPartBytes {
					pace(pacedPartBytes)
				}
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		if took := time.Since(begun); took < 1900*time.Millisecond || took > 2200*time.Millisecond {
			t.Errorf("two bodies of a second each took %v", took)
		}
	})
}

// TestPacingEndsWithTheRequest ends a request while its body waits for bandwidth.
func TestPacingEndsWithTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		pace := newLinkPacer(1000).outgoing(ctx, 1<<20)
		begun := time.Now()
		for range 10 {
			pace(pacedPartBytes)
		}
		if took := time.Since(begun); took > 1100*time.Millisecond {
			t.Errorf("a body whose request ended after 1 s waited %v", took)
		}
	})
}
