package main

import (
	"fmt"
	"io"
	"strings"

	"tanagerbarrow/bench/policy"
)

// printSummary writes, for each layout, the p99 of every policy and case as a
// multiple of the p99 of the central queue, which is the limit.
func (s *study) printSummary(w io.Writer) {
	for _, l := range policy.Layouts() {
		names := s.plottedCases(l.Name)
		if len(names) == 0 {
			continue
		}
		fmt.Fprintf(w, "\n## %s: p99 as a multiple of the limit's\n\n| policy | %s |\n", l.Name, strings.Join(names, " | "))
		fmt.Fprintln(w, "|"+strings.Repeat("---|", len(names)+1))
		for _, p := range policy.Policies() {
			if selected(p.Name, s.policies) {
				s.printSummaryRow(w, l.Name, p.Name, names)
			}
		}
	}
}

// printSummaryRow writes the row of one policy.
func (s *study) printSummaryRow(w io.Writer, layout, name string, cases []string) {
	fmt.Fprintf(w, "| %s |", name)
	for _, c := range cases {
		limit := s.results[cell{layout, c, policy.CentralQueueName}].merged.QuantileMillis(99)
		fmt.Fprintf(w, " %.2f |", s.results[cell{layout, c, name}].merged.QuantileMillis(99)/limit)
	}
	fmt.Fprintln(w)
}
