package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// textMessage is a message of one text.
type textMessage struct {
	Text string `json:"t"`
}

// connectedPair returns the two ends of a TCP connection.
func connectedPair(t *testing.T) (a, b *Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	a, err = Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	b = New(c)
	t.Cleanup(func() {
		a.Close()
		b.Close()
	})
	return a, b
}

// TestMessagesArriveInOrder sends many messages without waiting.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := connectedPair(t)
	const messages = 1000
	got := make(chan string, messages)
	go func() {
		_ = b.Run(func(_ Kind, data []byte) {
			var m textMessage
			if err := Decode(data, &m); err != nil {
				t.Error(err)
			}
			got <- m.Text
		}, nil)
	}()
	for n := range messages {
		if err := a.Send(20, textMessage{Text: string(rune('a' + n%26))}); err != nil {
			t.Fatal(err)
		}
	}
	for n := range messages {
		if text := <-got; text != string(rune('a'+n%26)) {
			t.Fatalf("message %d is %q", n, text)
		}
	}
}

// TestCallsAreAnswered makes calls in both directions, one of which fails.
func TestCallsAreAnswered(t *testing.T) {
	a, b := connectedPair(t)
	answer := func(kind Kind, data []byte) (any, error) {
		var m textMessage
		if err := Decode(data, &m); err != nil {
			return nil, err
		}
		if kind == 31 {
			return nil, errors.New("the call is rejected")
		}
		return textMessage{Text: m.Text + "!"}, nil
	}
	go func() { _ = a.Run(nil, answer) }()
	go func() { _ = b.Run(nil, answer) }()
	for _, from := range []*Conn{a, b} {
		var out textMessage
		if err := from.Call(t.Context(), 30, textMessage{Text: "hello"}, &out); err != nil || out.Text != "hello!" {
			t.Errorf("answer %q, error %v", out.Text, err)
		}
		if err := from.Call(t.Context(), 31, textMessage{}, &out); err == nil {
			t.Error("a failed call returned no error")
		}
	}
}

// TestCallsEndWithTheConnection checks that a call returns when its connection or
// its context ends.
func TestCallsEndWithTheConnection(t *testing.T) {
	a, b := connectedPair(t)
	go func() { _ = a.Run(nil, nil) }()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if err := a.Call(ctx, 30, textMessage{}, &textMessage{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error is %v", err)
	}
	done := make(chan error, 1)
	go func() { done <- a.Call(context.Background(), 30, textMessage{}, &textMessage{}) }()
	b.Close()
	if err := <-done; err == nil {
		t.Error("a call on an ended connection returned no error")
	}
}

// TestSilentConnectionTimesOut connects to a peer that never sends anything.
func TestSilentConnectionTimesOut(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := New(ours)
	begun := time.Now()
	if err := c.Run(nil, nil); err == nil {
		t.Error("a silent connection ended without an error")
	}
	if took := time.Since(begun); took < idleTimeout/2 {
		t.Errorf("the connection ended after %s", took)
	}
}

// TestFullSendQueueClosesConnection fills the send queue to a peer that doesn't
// read: Send fails and never blocks.
func TestFullSendQueueClosesConnection(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := New(ours)
	var err error
	for range sendQueueCapacity + bufferBytes {
		if err = c.Send(20, textMessage{}); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrOverflow) {
		t.Errorf("error is %v, want %v", err, ErrOverflow)
	}
}

// FuzzReadFrame checks that no bytes make the reader of frames panic.
func FuzzReadFrame(f *testing.F) {
	f.Add(encodeFrame(20, []byte("x")))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = theirs.Write(data)
			_ = theirs.Close()
		}()
		c := New(ours)
		defer c.Close()
		_ = c.Run(func(Kind, []byte) {}, func(Kind, []byte) (any, error) { return nil, nil })
	})
}
