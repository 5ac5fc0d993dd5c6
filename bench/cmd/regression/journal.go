package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
)

// noiseWorth is the difference of two worths that the bench calls noise.
const noiseWorth = 0.03

// run is one entry of the bench's journal.
type run struct {
	Command string `json:"cmd"`
	Site    string `json:"site"`
	Days    []day  `json:"days"`
}

// day is the result of one day.
type day struct {
	Name  string  `json:"name"`
	Worth float64 `json:"G"`
	Gate  bool    `json:"gate"`
}

// readJournal returns the recorded scores, the oldest first. The names of the files
// begin with their times.
func readJournal(folder string) ([]run, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "list the journal")
	}
	slices.Sort(paths)
	var runs []run
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read the journal")
		}
		var r run
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, errors.Wrapf(err, "journal entry %s", path)
		}
		if r.Command == "score" {
			runs = append(runs, r)
		}
	}
	return runs, nil
}

// lastWorth returns the worth that was recorded last for a day of a site.
func lastWorth(site, name string, recorded []run) (worth float64, found bool) {
	for _, r := range slices.Backward(recorded) {
		if r.Site != site {
			continue
		}
		for _, d := range r.Days {
			if d.Name == name {
				return d.Worth, true
			}
		}
	}
	return 0, false
}

// printComparison prints a row for each day of a run and reports whether all of them
// passed the gate.
func printComparison(w io.Writer, r run, recorded []run) bool {
	passed := true
	for _, d := range r.Days {
		row := fmt.Sprintf("%-24s %-14s %.3f", r.Site, d.Name, d.Worth)
		if before, found := lastWorth(r.Site, d.Name, recorded); found {
			row += fmt.Sprintf("  last %.3f  %+.3f", before, d.Worth-before)
			if before-d.Worth > noiseWorth {
				row += "  LOWER"
			}
		}
		if !d.Gate {
			row += "  GATE FAILED"
			passed = false
		}
		_, _ = fmt.Fprintln(w, row)
	}
	return passed
}
