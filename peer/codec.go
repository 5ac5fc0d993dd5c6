package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Limits on the size of one message, in bytes.
const (
	// maxMessageBytes applies to authenticated peers.
	maxMessageBytes = 32 << 20
	// maxHelloBytes applies until the sender has presented the peer key.
	maxHelloBytes = 4 << 10
)

// ErrMessageTooLarge marks a message above the size limit. The connection that
// it came on is closed.
var ErrMessageTooLarge = errors.New("message is too large")

// codec encodes messages as JSON, each prefixed with its length as an unsigned
// varint. It rejects a message above the size limit before reading its body.
type codec struct {
	// limit returns the current size limit of incoming messages, in bytes.
	limit func() uint64
}

// WriteObject writes one message.
func (c codec) WriteObject(out io.Writer, message any) error {
	return jsonrpc2.VarintObjectCodec{}.WriteObject(out, message)
}

// ReadObject reads one message.
func (c codec) ReadObject(in *bufio.Reader, into any) error {
	size, err := binary.ReadUvarint(in)
	if err != nil {
		return err
	}
	if limit := c.limit(); size > limit {
		return errors.Wrapf(ErrMessageTooLarge, "%d bytes, at most %d are allowed", size, limit)
	}
	data, err := io.ReadAll(io.LimitReader(in, int64(size)))
	if err != nil {
		return err
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, into)
}

// clientCodec returns the codec for outgoing connections. The peer on such a
// connection is chosen by this process, so the limit for authenticated peers
// applies from the start.
func clientCodec() codec { return codec{limit: func() uint64 { return maxMessageBytes }} }
