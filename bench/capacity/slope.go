package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Cost is the measured cost of a component at one size.
type Cost struct {
	// Size is the number of items, for example backend servers.
	Size int
	// HeapBytes is the memory that stays in use after a garbage collection.
	HeapBytes float64
	// MessageBytes is the encoded size of one message.
	MessageBytes float64
	// OperationTime is the mean time of one operation.
	OperationTime time.Duration
}

// Component is a part of the system whose cost grows with a size.
type Component struct {
	// Name describes the component and Unit the items that Size counts.
	Name, Unit string
	// Operation describes the operation that OperationTime measures.
	Operation string
	// Sizes are the sizes to measure.
	Sizes []int
	// TargetSize is the size in the target system, for which the costs are
	// extrapolated from the slopes.
	TargetSize int
	// Measure returns the cost at one size.
	Measure func(size int) Cost
}

// Print measures every size and prints a table of the costs, their slopes and the
// extrapolation to TargetSize.
func (p *Component) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, by %s (work: %s)\n", p.Name, p.Unit, p.Operation)
	fmt.Fprintf(w, "  %10s %14s %14s %14s\n", p.Unit, "heap bytes", "message bytes", "work us")
	var sizes, heap, wire, work []float64
	for _, size := range p.Sizes {
		c := p.Measure(size)
		us := float64(c.OperationTime.Nanoseconds()) / 1000
		fmt.Fprintf(w, "  %10d %14.0f %14.0f %14.3f\n", size, c.HeapBytes, c.MessageBytes, us)
		sizes = append(sizes, float64(size))
		heap, wire, work = append(heap, c.HeapBytes), append(wire, c.MessageBytes), append(work, us)
	}
	fmt.Fprintf(w, "  %10s %14.1f %14.1f %14.5f\n", "slope",
		slope(sizes, heap), slope(sizes, wire), slope(sizes, work))
	extrapolate := func(y []float64) float64 {
		intercept, s := stat.LinearRegression(sizes, y, nil, false)
		return intercept + s*float64(p.TargetSize)
	}
	fmt.Fprintf(w, "  %10d %14.0f %14.0f %14.3f  (from the slopes)\n\n", p.TargetSize, extrapolate(heap), extrapolate(wire), extrapolate(work))
}

// slope returns the slope of the linear regression of y on x.
func slope(x, y []float64) float64 {
	_, s := stat.LinearRegression(x, y, nil, false)
	return s
}

// measureHeap calls build and returns its result and the heap memory that the
// result keeps in use, in bytes.
func measureHeap[T any](build func() T) (kept T, bytes float64) {
	before := liveHeap()
	kept = build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return kept, max(after-before, 0)
}

// liveHeap returns the heap memory in use after a garbage collection, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureTime returns the mean time of an operation over all repetitions.
func measureTime(operation func(i int)) time.Duration {
	start := time.Now()
	for i := range repetitions {
		operation(i)
	}
	return time.Since(start) / repetitions
}
