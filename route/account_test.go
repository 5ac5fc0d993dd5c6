package route

import (
	"testing"

	"tanagerbarrow/account"
)

// TestAccountChangesItsCopyOfTheRoute checks ranks and home regions with and without an account.
func TestAccountChangesItsCopyOfTheRoute(t *testing.T) {
	zero, two := 0, 2
	urgent, late, undeclared := &account.Account{Priority: &zero}, &account.Account{Priority: &two}, &account.Account{HomeRegions: []string{"x", "y"}}
	routes := []Route{{Priority: 0, HomeRegions: []string{"y"}}, {Priority: 1}, {Priority: 2, HomeRegions: []string{"z"}}}
	ranks := []int{
		routes[0].WithAccount(urgent).Priority, routes[2].WithAccount(urgent).Priority, routes[1].WithAccount(undeclared).Priority,
		routes[0].WithAccount(late).Priority, routes[1].WithAccount(late).Priority, routes[2].WithAccount(nil).Priority,
	}
	for n := 1; n < len(ranks); n++ {
		if ranks[n] <= ranks[n-1] {
			t.Errorf("ranks are %v, want an ascending order", ranks)
		}
	}
	for n, want := range [][2]bool{{false, true}, {true, true}, {false, false}} {
		r := routes[n].WithAccount(undeclared)
		if got := [2]bool{r.AllowedIn("x"), r.AllowedIn("y")}; got != want || r.Servable() == (n == 2) {
			t.Errorf("route %d may be served in x and y: %v, want %v", n, got, want)
		}
	}
	if !routes[1].AllowedIn("z") || routes[2].Priority != 2 {
		t.Error("the route itself has changed")
	}
}
