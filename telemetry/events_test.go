package telemetry

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// eventInCode and eventOnPage match event names in the code and in the table of
// docs/OPERATIONS.md.
var (
	eventInCode = regexp.MustCompile(`(?:Str\("event", "|\\"event\\":\\")([a-z_]+)`)
	eventOnPage = regexp.MustCompile("`([a-z_]+)`")
)

// TestPageListsEveryEvent checks that the table of docs/OPERATIONS.md lists exactly
// the events that the processes of a deployment log.
func TestPageListsEveryEvent(t *testing.T) {
	inCode := map[string]bool{}
	for _, folder := range []string{"gateway", "coordinator", "platform", "cmd", "reload", "telemetry", "serving"} {
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, found := range eventInCode.FindAllSubmatch(text, -1) {
				inCode[string(found[1])] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(page), "## Events")
	table, _, _ = strings.Cut(table, "## Alerts")
	var onPage []string
	for _, line := range strings.Split(table, "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, found := range eventOnPage.FindAllStringSubmatch(cells[1], -1) {
				onPage = append(onPage, found[1])
			}
		}
	}
	for event := range inCode {
		if !slices.Contains(onPage, event) {
			t.Errorf("event %q is missing from the page", event)
		}
	}
	for _, event := range onPage {
		if !inCode[event] {
			t.Errorf("event %q on the page is never logged", event)
		}
	}
}
