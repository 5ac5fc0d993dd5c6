package link

import (
	"bytes"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode encodes a message as MessagePack. The json tags name its fields.
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

// callMessage is a call or its reply on the wire.
type callMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Seq      uint64
	Kind     Kind
	Body     []byte
	Failure  string
}

// ErrRejected marks the error of a call whose handler returned an error, as for a kind that
// the peer doesn't know.
var ErrRejected = errors.New("the peer rejected the call")

// callTable holds the calls that wait for a reply.
type callTable struct {
	mu          sync.Mutex
	next        uint64
	waiting     map[uint64]chan callMessage
	closeReason error
}

// register adds a call and returns its sequence number and the channel of its
// reply.
func (t *callTable) register() (uint64, chan callMessage, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closeReason != nil {
		return 0, nil, t.closeReason
	}
	if t.waiting == nil {
		t.waiting = map[uint64]chan callMessage{}
	}
	t.next++
	reply := make(chan callMessage, 1)
	t.waiting[t.next] = reply
	return t.next, reply, nil
}

// remove deletes a call, so that a later reply to it is discarded.
func (t *callTable) remove(seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, seq)
}

// deliverReply passes a reply to its call. A late reply, which no call waits for,
// is discarded.
func (t *callTable) deliverReply(body []byte) {
	var c callMessage
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

// closeAll ends all calls and rejects later ones with the reason.
func (t *callTable) closeAll(reason error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeReason = reason
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
	seq, reply, err := c.calls.register()
	if err != nil {
		return err
	}
	defer c.calls.remove(seq)
	if err := c.Send(kindCall, callMessage{Seq: seq, Kind: kind, Body: body}); err != nil {
		return err
	}
	select {
	case r, ok := <-reply:
		if !ok {
			return ErrClosed
		}
		if r.Failure != "" {
			return errors.Mark(errors.Newf("peer: %s", r.Failure), ErrRejected)
		}
		return Decode(r.Body, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveCall runs the handler on a goroutine of its own and sends its result as
// the reply.
func (c *Conn) serveCall(body []byte, handler CallHandler) {
	var request callMessage
	if err := Decode(body, &request); err != nil || handler == nil {
		c.closeWithReason(errors.New("malformed or unexpected call"))
		return
	}
	go func() {
		reply := callMessage{Seq: request.Seq}
		result, err := handler(request.Kind, request.Body)
		if err == nil {
			reply.Body, err = Encode(result)
		}
		if err != nil {
			reply.Failure = err.Error()
		}
		_ = c.Send(kindReply, reply)
	}()
}
