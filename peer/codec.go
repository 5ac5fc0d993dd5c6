package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// The bounds of one message, in bytes.
const (
	// maxMessageBytes bounds a message of a peer that presented the key.
	maxMessageBytes = 32 << 20
	// maxHelloBytes bounds a message of anybody else.
	maxHelloBytes = 4 << 10
)

// ErrMessageTooLarge marks a message above the bound; the connection is closed.
var ErrMessageTooLarge = errors.New("message is too large")

// codec frames JSON messages by their length as an unsigned varint and refuses
// one above the bound before it reads it.
type codec struct {
	// limit returns the current bound of incoming messages, in bytes.
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

// trustedCodec returns the codec towards a peer that this side chose.
func trustedCodec() codec { return codec{limit: func() uint64 { return maxMessageBytes }} }
