package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Cost is what one size of one part costs.
type Cost struct {
	// Size is the number of things, for example backend servers.
	Size int
	// Heap is the memory that stays in use, in bytes.
	Heap float64
	// Wire is the encoded size of one message, in bytes.
	Wire float64
	// Work is the processor time of one operation.
	Work time.Duration
}

// Component is a part of the system whose cost grows with a size.
type Component struct {
	// Name says what was measured and Unit what Size counts.
	Name, Unit string
	// Operation is what Work times.
	Operation string
	// Sizes are the measured sizes.
	Sizes []int
	// Target is the size in the letter.
	Target int
	// Measure measures one size.
	Measure func(size int) Cost
}

// Print measures every size and prints a table with the slopes.
func (p *Component) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, by %s (work: %s)\n", p.Name, p.Unit, p.Operation)
	fmt.Fprintf(w, "  %10s %14s %14s %14s\n", p.Unit, "heap bytes", "message bytes", "work us")
	var sizes, heap, wire, work []float64
	for _, size := range p.Sizes {
		c := p.Measure(size)
		us := float64(c.Work.Nanoseconds()) / 1000
		fmt.Fprintf(w, "  %10d %14.0f %14.0f %14.3f\n", size, c.Heap, c.Wire, us)
		sizes = append(sizes, float64(size))
		heap, wire, work = append(heap, c.Heap), append(wire, c.Wire), append(work, us)
	}
	fmt.Fprintf(w, "  %10s %14.1f %14.1f %14.5f\n", "slope",
		slope(sizes, heap), slope(sizes, wire), slope(sizes, work))
	at := func(y []float64) float64 {
		intercept, s := stat.LinearRegression(sizes, y, nil, false)
		return intercept + s*float64(p.Target)
	}
	fmt.Fprintf(w, "  %10d %14.0f %14.0f %14.3f  (from the slopes)\n\n", p.Target, at(heap), at(wire), at(work))
}

// slope returns the growth of y for each unit of x.
func slope(x, y []float64) float64 {
	_, s := stat.LinearRegression(x, y, nil, false)
	return s
}

// heapOf returns the memory that what build returns keeps in use, in bytes.
func heapOf[T any](build func() T) (kept T, bytes float64) {
	before := liveHeap()
	kept = build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return kept, max(after-before, 0)
}

// liveHeap returns the memory in use after a collection, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// timeOf returns the mean time of an operation over its repeats.
func timeOf(operation func(i int)) time.Duration {
	start := time.Now()
	for i := range repeats {
		operation(i)
	}
	return time.Since(start) / repeats
}
