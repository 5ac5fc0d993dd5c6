package main

import (
	"fmt"
	"io"
	"strings"

	"tanagerbarrow/bench/policy"
)

// summary writes, for each layout, the p99 of every policy and case as a
// multiple of the limit's.
func (s *study) summary(w io.Writer) {
	for _, l := range policy.Layouts() {
		names := s.caseNames(l.Name)
		if len(names) == 0 {
			continue
		}
		fmt.Fprintf(w, "\n## %s: p99 as a multiple of the limit's\n\n| policy | %s |\n", l.Name, strings.Join(names, " | "))
		fmt.Fprintln(w, "|"+strings.Repeat("---|", len(names)+1))
		for _, p := range policy.Policies() {
			if wanted(p.Name, s.policies) {
				s.summaryRow(w, l.Name, p.Name, names)
			}
		}
	}
}

// summaryRow writes one policy.
func (s *study) summaryRow(w io.Writer, layout, name string, cases []string) {
	fmt.Fprintf(w, "| %s |", name)
	for _, c := range cases {
		limit := s.outcomes[cell{layout, c, policy.Limit}].all.Quantile(99)
		fmt.Fprintf(w, " %.2f |", s.outcomes[cell{layout, c, name}].all.Quantile(99)/limit)
	}
	fmt.Fprintln(w)
}
