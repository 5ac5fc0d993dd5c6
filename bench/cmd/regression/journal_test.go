package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestComparisonNamesLowerDays reads a journal with two scores and another run, and
// compares a third score with the newest that has the day.
func TestComparisonNamesLowerDays(t *testing.T) {
	folder := t.TempDir()
	for name, content := range map[string]string{
		"20260101T000000-a.json": `{"cmd":"score","site":"s","days":[{"name":"quiet-1","G":0.9,"gate":true},{"name":"old","G":0.4,"gate":true}]}`,
		"20260102T000000-b.json": `{"cmd":"score","site":"s","days":[{"name":"quiet-1","G":0.7,"gate":true}]}`,
		"20260103T000000-c.json": `{"cmd":"run","site":"s","days":[{"name":"quiet-1","G":0.1,"gate":true}]}`,
	} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := readJournal(folder)
	if err != nil || len(recorded) != 2 {
		t.Fatalf("%d scores, %v", len(recorded), err)
	}
	var out strings.Builder
	passed := printComparison(&out, run{Site: "s", Days: []day{
		{"quiet-1", 0.69, true}, {"old", 0.3, true}, {"new", 0.5, false},
	}}, recorded)
	rows := strings.Split(out.String(), "\n")
	if passed || !strings.HasSuffix(rows[0], "last 0.700  -0.010") || !strings.HasSuffix(rows[1], "-0.100  LOWER") || !strings.HasSuffix(rows[2], "0.500  GATE FAILED") {
		t.Errorf("passed %v:\n%s", passed, out.String())
	}
}
