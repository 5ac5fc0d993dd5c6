package coordinator

import (
	"fmt"
	"slices"
	"testing"
)

// TestReassignmentKeepsChecks removes half of the entries and adds them again.
// Only the servers that lose their entry may move: an entry that is newly
// assigned to a server needs seconds to learn its rhythm, and until then the
// broker's estimate of its pace is poor.
func TestReassignmentKeepsChecks(t *testing.T) {
	all := map[string][]string{}
	half := map[string][]string{}
	var servers []checkedServer
	for n := range 36 {
		zone := fmt.Sprint("z", n%3)
		name := fmt.Sprint("e", n)
		all[zone] = append(all[zone], name)
		if n%2 == 0 {
			half[zone] = append(half[zone], name)
		}
		servers = append(servers, checkedServer{uint32(2 * n), zone}, checkedServer{uint32(2*n + 1), zone})
	}
	first := assignChecks(nil, servers, all, nil)
	fewer := assignChecks(first, servers, half, nil)
	back := assignChecks(fewer, servers, all, nil)
	for step, got := range []map[string][]uint32{first, fewer, back} {
		checkAssigned(t, step, got, servers)
	}
	for name, had := range first {
		kept := fewer[name]
		if kept == nil {
			continue
		}
		for _, number := range had {
			if !slices.Contains(kept, number) {
				t.Errorf("server %d was moved from %s, which was not removed", number, name)
			}
		}
	}
	for name, had := range fewer {
		for _, number := range had {
			if !slices.Contains(back[name], number) {
				t.Errorf("server %d was moved from %s when other entries were added again", number, name)
			}
		}
	}
}

// checkAssigned verifies that each server has one entry and that no entry has
// too many servers.
func checkAssigned(t *testing.T, step int, got map[string][]uint32, servers []checkedServer) {
	t.Helper()
	seen := map[uint32]int{}
	for name, numbers := range got {
		if len(numbers) > 8 {
			t.Errorf("step %d: %s has %d checks", step, name, len(numbers))
		}
		for _, number := range numbers {
			seen[number]++
		}
	}
	for _, s := range servers {
		if seen[s.number] != 1 {
			t.Errorf("step %d: server %d has %d entries", step, s.number, seen[s.number])
		}
	}
}

// TestZoneWithoutEntriesIsChecked takes all entries of a zone away: others of its region
// must check its servers, or any others if the region has none, and give them back.
func TestZoneWithoutEntriesIsChecked(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	var servers []checkedServer
	for n := range 12 {
		servers = append(servers, checkedServer{uint32(n), []string{"a1", "a2", "b1"}[n%3]})
	}
	all := map[string][]string{"a1": {"e1", "e2"}, "a2": {"e3", "e4"}, "b1": {"e5", "e6"}}
	without := map[string][]string{"a2": {"e3", "e4"}, "b1": {"e5", "e6"}}
	region := map[string][]string{"b1": {"e5", "e6"}}
	first := assignChecks(nil, servers, all, regions)
	second := assignChecks(first, servers, without, regions)
	third := assignChecks(second, servers, region, regions)
	last := assignChecks(third, servers, all, regions)
	for step, got := range []map[string][]uint32{first, second, third, last} {
		checkAssigned(t, step, got, servers)
	}
	if len(second["e3"]) != 4 || len(second["e4"]) != 4 || len(third["e5"]) != 6 || len(last["e5"]) != 2 {
		t.Errorf("checks are %v, then %v, then %v", second, third, last)
	}
	if got := assignChecks(first, servers, nil, regions); len(got) != 0 {
		t.Errorf("without entries: %v", got)
	}
}
