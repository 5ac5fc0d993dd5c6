package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"tanagerbarrow/state"
)

// printPlan prints a plan as text.
func printPlan(p state.Plan) {
	fmt.Printf("plan %s on version %d: %s %s\n", p.ID, p.BaseVersion, p.Intent.Kind, p.Intent.Subject)
	for _, step := range p.Steps {
		fmt.Printf("  - %s\n", step)
	}
	printFigures(p.Figures)
	for _, warning := range p.Warnings {
		fmt.Printf("  ! %s\n", warning)
	}
	if p.Refusal != "" {
		fmt.Printf("refused: %s\n", p.Refusal)
	}
}

// printFigures prints the figures of a plan as a table.
func printFigures(f state.Figures) {
	if len(f.Services) == 0 {
		return
	}
	if f.MovedPercent > 0 {
		fmt.Printf("  about %.1f%% of the load moves, by slots", f.MovedPercent)
	} else {
		fmt.Print("  no load moves")
	}
	fmt.Printf("; counts from %d entries:\n", f.Reporters)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "    SERVICE\tSERVERS\tLEFT\tSLOTS\tLEFT\tLOAD MOVED")
	for _, s := range f.Services {
		fmt.Fprintf(w, "    %s\t%d\t%d\t%d\t%d\t%.1f%%\n", s.Service, s.ServersBefore, s.ServersAfter,
			s.SlotsBefore, s.SlotsAfter, s.MovedPercent)
	}
	exitOnError(w.Flush())
}

// printAnswer prints the answer to a confirmation as text.
func printAnswer(a state.Answer) {
	if a.Accepted {
		fmt.Printf("accepted: version %d\n", a.Version)
		return
	}
	fmt.Printf("refused: %s\n", a.Reason)
	if a.ConflictingCommand != "" {
		fmt.Printf("version %d is by %s (command %s)\n", a.Version, a.ConflictingOperator, a.ConflictingCommand)
	}
	if a.NewPlan != nil {
		fmt.Printf("the same intent now: plan %s digest %s\n", a.NewPlan.ID, a.NewPlan.Digest)
	}
}

// printJSON prints a value as indented JSON.
func printJSON(v any) {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	exitOnError(out.Encode(v))
}
