package link

import (
	"bytes"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode encodes a message. Fields go by their json names.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.SetCustomStructTag("json")
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, errors.Wrapf(err, "encode %T", v)
	}
	return b.Bytes(), nil
}

// Decode decodes a message into v.
func Decode(body []byte, v any) error {
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(bytes.NewReader(body))
	d.SetCustomStructTag("json")
	return errors.Wrapf(d.Decode(v), "decode %T", v)
}

// call is a call or its reply on the wire.
type call struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Seq      uint64
	Kind     Kind
	Body     []byte
	Failure  string
}

// callTable keeps the calls that wait for a reply.
type callTable struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan call
	ended   error
}

// open registers a call.
func (t *callTable) open() (uint64, chan call, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended != nil {
		return 0, nil, t.ended
	}
	if t.waiting == nil {
		t.waiting = map[uint64]chan call{}
	}
	t.next++
	reply := make(chan call, 1)
	t.waiting[t.next] = reply
	return t.next, reply, nil
}

// drop forgets a call.
func (t *callTable) drop(seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, seq)
}

// finish hands a reply to its call; a reply that nobody waits for is late.
func (t *callTable) finish(body []byte) {
	var c call
	if err := Decode(body, &c); err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if reply, ok := t.waiting[c.Seq]; ok {
		reply <- c
		delete(t.waiting, c.Seq)
	}
}

// fail ends all calls.
func (t *callTable) fail(reason error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = reason
	for seq, reply := range t.waiting {
		close(reply)
		delete(t.waiting, seq)
	}
}

// Call sends a call and waits for its reply, which it decodes into result.
func (c *Conn) Call(ctx context.Context, kind Kind, params, result any) error {
	body, err := Encode(params)
	if err != nil {
		return err
	}
	seq, reply, err := c.calls.open()
	if err != nil {
		return err
	}
	defer c.calls.drop(seq)
	if err := c.Send(kindCall, call{Seq: seq, Kind: kind, Body: body}); err != nil {
		return err
	}
	select {
	case r, ok := <-reply:
		if !ok {
			return ErrClosed
		}
		if r.Failure != "" {
			return errors.Newf("peer: %s", r.Failure)
		}
		return Decode(r.Body, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveCall answers a call on a goroutine of its own.
func (c *Conn) serveCall(body []byte, answer CallHandler) {
	var in call
	if err := Decode(body, &in); err != nil || answer == nil {
		c.end(errors.New("malformed or unexpected call"))
		return
	}
	go func() {
		out := call{Seq: in.Seq}
		result, err := answer(in.Kind, in.Body)
		if err == nil {
			out.Body, err = Encode(result)
		}
		if err != nil {
			out.Failure = err.Error()
		}
		_ = c.Send(kindReply, out)
	}()
}
