package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"
)

// TestLongFramesAreSkipped reads a frame over the limit and one within it.
func TestLongFramesAreSkipped(t *testing.T) {
	const most = 1000
	in := bufio.NewReader(bytes.NewReader(append(encodeFrame(20, make([]byte, 5000)), encodeFrame(21, []byte("short"))...)))
	if kind, body, err := readFrame(in, most); kind != kindPing || len(body) != 0 || err != nil {
		t.Errorf("the long frame: %d, %d bytes, %v", kind, len(body), err)
	}
	if kind, body, err := readFrame(in, most); kind != 21 || string(body) != "short" || err != nil {
		t.Errorf("the short frame: %d, %q, %v", kind, body, err)
	}
}

// TestDeclaredLengthTakesNoMemory declares long frames and sends a few bytes of each.
func TestDeclaredLengthTakesNoMemory(t *testing.T) {
	const frames = 50
	message := append(binary.AppendUvarint(nil, maxFrameBytes), make([]byte, 100)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		if _, _, err := readFrame(bufio.NewReader(bytes.NewReader(message)), maxFrameBytes); err == nil {
			t.Fatal("a frame without its end was read")
		}
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > frames*4*firstPartBytes {
		t.Errorf("%d frames took %d bytes", frames, got)
	}
}

// FuzzFrameLimit checks that any bytes are read or refused, that no frame is longer than its
// limit, and that a whole frame is what was sent.
func FuzzFrameLimit(f *testing.F) {
	f.Add([]byte{}, uint16(10))
	f.Add(encodeFrame(20, []byte("body")), uint16(3))
	f.Add(encodeFrame(20, make([]byte, 3*firstPartBytes)), uint16(65535))
	f.Fuzz(func(t *testing.T, sent []byte, most uint16) {
		in := bufio.NewReader(bytes.NewReader(sent))
		for {
			_, body, err := readFrame(in, uint64(most))
			if err != nil {
				break
			}
			if len(body) >= int(most) && len(body) > 0 {
				t.Fatalf("a frame of %d bytes, limit %d", len(body), most)
			}
		}
		kind, body, err := readFrame(bufio.NewReader(bytes.NewReader(encodeFrame(20, sent))), maxFrameBytes)
		if kind != 20 || !bytes.Equal(body, sent) || err != nil {
			t.Fatalf("%d, %d bytes of %d, %v", kind, len(body), len(sent), err)
		}
	})
}
