// Command policy compares ways to choose a backend server on the virtual-time
// workbench and prints a table for each case.
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
	s.summary(os.Stdout)
	s.print(os.Stdout)
	if *plots == "" {
		return
	}
	if err := s.plot(*plots); err != nil {
		fmt.Fprintln(os.Stderr, "policy:", err)
		os.Exit(1)
	}
}

// cell names one row of one table.
type cell struct{ layout, load, policy string }

// outcome is the runs of one cell.
type outcome struct {
	all *policy.Result
	p99 []float64
}

// study is the whole comparison.
type study struct {
	seeds                    int
	layouts, cases, policies []string

	mu       sync.Mutex
	outcomes map[cell]*outcome
}

// wanted reports whether a name is asked for; no names ask for all.
func wanted(name string, only []string) bool { return len(only) == 0 || slices.Contains(only, name) }

// each calls f for every cell that is asked for, in order.
func (s *study) each(f func(l policy.Layout, c policy.Case, p policy.Named)) {
	for _, l := range policy.Layouts() {
		for _, c := range policy.Cases() {
			for _, p := range policy.Policies() {
				if wanted(l.Name, s.layouts) && wanted(c.Name, s.cases) && wanted(p.Name, s.policies) {
					f(l, c, p)
				}
			}
		}
	}
}

// run runs all cells.
func (s *study) run(parallel int) error {
	s.outcomes = map[cell]*outcome{}
	var g errgroup.Group
	g.SetLimit(max(parallel, 1))
	s.each(func(l policy.Layout, c policy.Case, p policy.Named) {
		g.Go(func() error {
			s.runCell(l, c, p)
			return nil
		})
	})
	if err := g.Wait(); err != nil {
		return err
	}
	if len(s.outcomes) == 0 {
		return errors.New("no layout, case and policy has the names asked for")
	}
	return nil
}

// runCell runs one cell with every seed.
func (s *study) runCell(l policy.Layout, c policy.Case, p policy.Named) {
	var o outcome
	for seed := range s.seeds {
		r := policy.Run(l, c, p.New(), uint64(seed+1))
		o.p99 = append(o.p99, r.Quantile(99))
		if o.all == nil {
			o.all = r
			continue
		}
		o.all.Merge(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[cell{l.Name, c.Name, p.Name}] = &o
}

// print writes a table for each case.
func (s *study) print(w io.Writer) {
	last := ""
	s.each(func(l policy.Layout, c policy.Case, p policy.Named) {
		if title := l.Name + ", " + c.Name; title != last {
			last = title
			fmt.Fprintf(w, "\n### %s\n\n", title)
			fmt.Fprintln(w, "| policy | p50 ms | p99 ms | spread of p99 | p99.9 ms | p99 to limit | failed % | rejected % | good/s of capacity % | modest p99 ms | collapses | probes/s | zone B/req | zones B/req | regions B/req | far % |")
			fmt.Fprintln(w, "|"+strings.Repeat("---|", 16))
		}
		s.printRow(w, cell{l.Name, c.Name, p.Name})
	})
}

// printRow writes one row.
func (s *study) printRow(w io.Writer, at cell) {
	o := s.outcomes[at]
	r := o.all
	n := float64(max(r.Requests(), 1))
	ratio := "-"
	if limit, ok := s.outcomes[cell{at.layout, at.load, policy.Limit}]; ok {
		ratio = fmt.Sprintf("%.2f", r.Quantile(99)/limit.all.Quantile(99))
	}
	sent := float64(r.Sent[0] + r.Sent[1] + r.Sent[2])
	fmt.Fprintf(w, "| %s | %.1f | %.1f | %.1f-%.1f | %.1f | %s | %.2f | %.2f | %.1f | %.1f | %d | %.0f | %.0f | %.0f | %.0f | %.2f |\n",
		at.policy, r.Quantile(50), r.Quantile(99), slices.Min(o.p99), slices.Max(o.p99), r.Quantile(99.9), ratio,
		r.Share(r.Failed), r.Share(r.Rejected),
		100*float64(r.Latency.TotalCount())/r.Seconds/r.Capacity, float64(r.Modest.ValueAtQuantile(99))/1000,
		r.Collapses, float64(r.Probes)/r.Seconds,
		float64(r.Control[0])/n, float64(r.Control[1])/n, float64(r.Control[2])/n,
		100*float64(r.Sent[2])/max(sent, 1))
}
