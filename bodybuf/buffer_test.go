package bodybuf

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// endless yields bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestBodyIsHeldUnchanged reads bodies of any length in reads of any size. The
// chunks must hold the same bytes, within the limit and the budget, and the release
// must return all that was reserved.
func TestBodyIsHeldUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 3<<20).Draw(t, "size")
		content := make([]byte, size)
		r := rand.New(rand.NewPCG(1, uint64(size)))
		for i := range content {
			content[i] = byte(r.Uint32())
		}
		declared := int64(UnknownLength)
		if rapid.Bool().Draw(t, "declared") {
			declared = int64(size)
		}
		budget := NewBudget(8 << 20)
		var in io.Reader = bytes.NewReader(content)
		if rapid.Bool().Draw(t, "small reads") {
			in = iotest.HalfReader(in)
		}
		body, err := budget.Read(in, declared, Limits{
			MaxBytes: 4 << 20, LeaveOwnSize: rapid.Bool().Draw(t, "leave own size"),
			ReserveDeclared: rapid.Bool().Draw(t, "reserve declared"),
		})
		if err != nil {
			t.Fatal(err)
		}
		if body.Len() != size || !bytes.Equal(bytes.Join(body.Chunks(), nil), content) {
			t.Fatalf("%d of %d bytes are held, or they changed", body.Len(), size)
		}
		if used := budget.Total() - budget.Free(); used < int64(size) {
			t.Fatalf("%d bytes are reserved for a body of %d", used, size)
		}
		body.Release()
		body.Release()
		if budget.Free() != budget.Total() {
			t.Fatalf("%d of %d bytes are free after the release", budget.Free(), budget.Total())
		}
	})
}

// TestEndlessBodyIsGivenUp reads a body without end: it ends at its limit, or when
// the budget is used up, and returns its memory.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	for limit, want := range map[int64]error{100_000: ErrTooLarge, 1 << 40: ErrNoMemory} {
		budget := NewBudget(1 << 20)
		if _, err := budget.Read(endless{}, UnknownLength, Limits{MaxBytes: limit}); !errors.Is(err, want) {
			t.Errorf("limit %d: %v, want %v", limit, err, want)
		}
		if budget.Free() != budget.Total() {
			t.Errorf("limit %d: %d bytes are not released", limit, budget.Total()-budget.Free())
		}
	}
}

// held is a body that is still being read.
type held struct {
	more chan struct{}
	done chan error
}

// TestGrowingBodiesLeaveRoomForSmallOnes lets many bodies grow until each of them
// is given up or waits for its next byte. A small body must still find room.
func TestGrowingBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const bodies, total = 20, 8 << 20
	budget := NewBudget(total)
	var growing []held
	for range bodies {
		h := held{make(chan struct{}), make(chan error, 1)}
		growing = append(growing, h)
		in := io.MultiReader(io.LimitReader(endless{}, 2<<20), readerFunc(func([]byte) (int, error) {
			<-h.more
			return 0, io.EOF
		}))
		go func() {
			_, err := budget.Read(in, UnknownLength, Limits{MaxBytes: total, LeaveOwnSize: true})
			h.done <- err
		}()
	}
	small, err := budget.Read(io.LimitReader(endless{}, 64<<10), UnknownLength, Limits{MaxBytes: total, LeaveOwnSize: true})
	if err != nil {
		t.Errorf("a small body found no room: %v", err)
	}
	small.Release()
	for _, h := range growing {
		close(h.more)
		if err := <-h.done; err != nil && !errors.Is(err, ErrNoMemory) {
			t.Error(err)
		}
	}
}

// readerFunc is a function that reads.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestLimitsOfDeclaredLength checks that a body is refused before its first byte if
// its declared length exceeds a limit, and that a longer one than declared is an
// error.
func TestLimitsOfDeclaredLength(t *testing.T) {
	budget := NewBudget(1000)
	unread := iotest.ErrReader(errors.New("the body was read"))
	if _, err := budget.Read(unread, 501, Limits{MaxBytes: 500}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("over its limit: %v", err)
	}
	if _, err := budget.Read(unread, 901, Limits{MaxBytes: 2000, LeaveFree: 100, ReserveDeclared: true}); !errors.Is(err, ErrNoMemory) {
		t.Errorf("over the budget: %v", err)
	}
	if _, err := budget.Read(bytes.NewReader(make([]byte, 11)), 10, Limits{MaxBytes: 500}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("longer than declared: %v", err)
	}
	broken := errors.New("connection reset")
	if _, err := budget.Read(io.MultiReader(bytes.NewReader(make([]byte, 5)), iotest.ErrReader(broken)), 10, Limits{MaxBytes: 500}); !errors.Is(err, broken) {
		t.Errorf("cut: %v", err)
	}
	if budget.Free() != budget.Total() {
		t.Errorf("%d of %d bytes are free", budget.Free(), budget.Total())
	}
}
