package serving

import "bytes"

// lineEnd is what the last delivered bytes of a head or of a body in chunks are.
type lineEnd uint8

// The ends of lines.
const (
	// withinLine is anywhere in a line.
	withinLine lineEnd = iota
	// endOfLine is behind a line feed, and emptyLine behind a carriage return that follows one.
	endOfLine
	emptyLine
	// endOfMessage is behind an empty line, with which heads and the last chunks of bodies end.
	endOfMessage
)

// messageLength returns how many of the bytes belong to the head or the chunks that are being read, and what their
// last ones are; before is what they follow. An empty line within a chunk ends a read early, which does no harm.
func messageLength(received []byte, before lineEnd) (int, lineEnd) {
	at := before
	if at == endOfMessage {
		at = withinLine
	}
	for n := 0; n < len(received); {
		if at == withinLine {
			next := bytes.IndexByte(received[n:], '\n')
			if next < 0 {
				return len(received), withinLine
			}
			n, at = n+next+1, endOfLine
			continue
		}
		switch b := received[n]; {
		case b == '\n':
			return n + 1, endOfMessage
		case b == '\r' && at == endOfLine:
			at = emptyLine
		default:
			at = withinLine
		}
		n++
	}
	return len(received), at
}
