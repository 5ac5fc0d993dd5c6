package verdict

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestErrorWithoutEvidenceMayHaveRun(t *testing.T) {
	if got := Of(errors.New("reset")); got != MayHaveRun {
		t.Fatalf("verdict of a plain error = %v, want MayHaveRun", got)
	}
	wrapped := errors.Wrap(New(NotRun, 503, "full", "queue is full"), "route")
	if got := Of(wrapped); got != NotRun {
		t.Fatalf("verdict of a wrapped error = %v, want NotRun", got)
	}
}
