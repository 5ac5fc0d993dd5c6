// Command policy compares load balancing policies in a virtual-time simulation and
// prints a table for each layout and case.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/bench/policy"
)

func main() {
	seeds := kingpin.Flag("seeds", "Runs of each case, each with another seed.").Default("3").Int()
	layouts := kingpin.Flag("layout", "Only these layouts.").Strings()
	cases := kingpin.Flag("case", "Only these cases.").Strings()
	policies := kingpin.Flag("policy", "Only these policies.").Strings()
	parallel := kingpin.Flag("parallel", "Runs at once.").Default("3").Int()
	plots := kingpin.Flag("plots", "Folder for PNG plots.").String()
	kingpin.Parse()
	s := &study{seeds: *seeds, layouts: *layouts, cases: *cases, policies: *policies}
	if err := s.run(*parallel); err != nil {
		fmt.Fprintln(os.Stderr, "policy:", err)
		os.Exit(1)
	}
	s.printSummary(os.Stdout)
	s.printTables(os.Stdout)
	if *plots == "" {
		return
	}
	if err := s.plotAll(*plots); err != nil {
		fmt.Fprintln(os.Stderr, "policy:", err)
		os.Exit(1)
	}
}

// cell identifies one combination of layout, case and policy.
type cell struct{ layout, caseName, policy string }

// cellResult holds the merged result of the runs of one cell and the p99 of each run
// in milliseconds.
type cellResult struct {
	merged *policy.Result
	p99    []float64
}

// study is a comparison of policies over layouts and cases.
type study struct {
	seeds                    int
	layouts, cases, policies []string

	mu      sync.Mutex
	results map[cell]*cellResult
}

// selected reports whether a name is in the list of a flag. An empty list selects all
// names.
func selected(name string, only []string) bool { return len(only) == 0 || slices.Contains(only, name) }

// forEachCell calls f for every selected cell, in order.
func (s *study) forEachCell(f func(l policy.Layout, c policy.Case, p policy.NamedPolicy)) {
	for _, l := range policy.Layouts() {
		for _, c := range policy.Cases() {
			for _, p := range policy.Policies() {
				if selected(l.Name, s.layouts) && selected(c.Name, s.cases) && selected(p.Name, s.policies) {
					f(l, c, p)
				}
			}
		}
	}
}

// run runs all selected cells, up to parallel of them at once.
func (s *study) run(parallel int) error {
	s.results = map[cell]*cellResult{}
	var g errgroup.Group
	g.SetLimit(max(parallel, 1))
	s.forEachCell(func(l policy.Layout, c policy.Case, p policy.NamedPolicy) {
		g.Go(func() error {
			s.runCell(l, c, p)
			return nil
		})
	})
	if err := g.Wait(); err != nil {
		return err
	}
	if len(s.results) == 0 {
		return errors.New("no layout, case and policy match the flags")
	}
	return nil
}

// runCell runs one cell with every seed.
func (s *study) runCell(l policy.Layout, c policy.Case, p policy.NamedPolicy) {
	var o cellResult
	for seed := range s.seeds {
		r := policy.Run(l, c, p.New(), uint64(seed+1))
		o.p99 = append(o.p99, r.QuantileMillis(99))
		if o.merged == nil {
			o.merged = r
			continue
		}
		o.merged.Merge(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[cell{l.Name, c.Name, p.Name}] = &o
}

// printTables writes a table for each layout and case.
func (s *study) printTables(w io.Writer) {
	lastTitle := ""
	s.forEachCell(func(l policy.Layout, c policy.Case, p policy.NamedPolicy) {
		if title := l.Name + ", " + c.Name; title != lastTitle {
			lastTitle = title
			fmt.Fprintf(w, "\n### %s\n\n", title)
			fmt.Fprintln(w, "| policy | p50 ms | p99 ms | spread of p99 | p99.9 ms | p99 to limit | failed % | rejected % | good/s of capacity % | modest p99 ms | collapses | probes/s | zone B/req | zones B/req | regions B/req | far % |")
			fmt.Fprintln(w, "|"+strings.Repeat("---|", 16))
		}
		s.printRow(w, cell{l.Name, c.Name, p.Name})
	})
}

// printRow writes the row of one cell.
func (s *study) printRow(w io.Writer, of cell) {
	o := s.results[of]
	r := o.merged
	requests := float64(max(r.Requests(), 1))
	ratio := "-"
	if limit, ok := s.results[cell{of.layout, of.caseName, policy.CentralQueueName}]; ok {
		ratio = fmt.Sprintf("%.2f", r.QuantileMillis(99)/limit.merged.QuantileMillis(99))
	}
	sent := float64(r.RequestsSent[0] + r.RequestsSent[1] + r.RequestsSent[2])
	fmt.Fprintf(w, "| %s | %.1f | %.1f | %.1f-%.1f | %.1f | %s | %.2f | %.2f | %.1f | %.1f | %d | %.0f | %.0f | %.0f | %.0f | %.2f |\n",
		of.policy, r.QuantileMillis(50), r.QuantileMillis(99), slices.Min(o.p99), slices.Max(o.p99), r.QuantileMillis(99.9), ratio,
		r.Percent(r.Failed), r.Percent(r.Rejected),
		100*float64(r.Latency.TotalCount())/r.MeasuredSeconds/r.Capacity, float64(r.FairShareLatency.ValueAtQuantile(99))/1000,
		r.Collapses, float64(r.Probes)/r.MeasuredSeconds,
		float64(r.ControlBytes[0])/requests, float64(r.ControlBytes[1])/requests, float64(r.ControlBytes[2])/requests,
		100*float64(r.RequestsSent[2])/max(sent, 1))
}
