package settings

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gopkg.in/ini.v1"
)

// readKeys returns every key that is read for the role of the file.
func readKeys(t *testing.T, path string) map[string]bool {
	t.Helper()
	file, err := ini.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	r := &reader{name: path, file: file, knownKeys: map[string]bool{}}
	r.read()
	return r.knownKeys
}

func TestSettingsPageListsEveryKey(t *testing.T) {
	keys := readKeys(t, "../examples/cowbell/entry-1.ini")
	maps.Copy(keys, readKeys(t, "../examples/cowbell/control-1.ini"))
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+\\.[a-z-]+)` \\|").FindAllSubmatch(page, -1) {
		listed[string(row[1])] = true
	}
	want, got := slices.Sorted(maps.Keys(keys)), slices.Sorted(maps.Keys(listed))
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("docs/SETTINGS.md and the code differ (-code +page):\n%s", diff)
	}
}
