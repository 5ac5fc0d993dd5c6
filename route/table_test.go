package route

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// validConfiguration returns a configuration that breaks no rule.
func validConfiguration() *Configuration {
	return &Configuration{
		Version: 1, Services: []Service{{Name: "s"}, {Name: "other"}},
		Routes: []Route{{
			Name: "r", Host: "h", PathPrefix: "/a/", Timeout: time.Second,
			Shares: []Share{{Service: "s", Weight: 90}, {Service: "other", Weight: 10}}, MaxAttempts: 2,
		}},
	}
}

// TestCheckNamesTheBrokenRule breaks one rule at a time.
func TestCheckNamesTheBrokenRule(t *testing.T) {
	if err := validConfiguration().Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Configuration){
		"service \"gone\" is unknown": func(c *Configuration) { c.Routes[0].Shares[0].Service = "gone" },
		"share host \"h\"":            func(c *Configuration) { c.Routes = append(c.Routes, c.Routes[0]) },
		"timeout 0s":                  func(c *Configuration) { c.Routes[0].Timeout = 0 },
		"at most 10m0s":               func(c *Configuration) { c.Routes[0].Timeout = 11 * time.Minute },
		"does not begin with a slash": func(c *Configuration) { c.Routes[0].PathPrefix = "a/" },
		"no service":                  func(c *Configuration) { c.Routes[0].Shares = nil },
		"no host":                     func(c *Configuration) { c.Routes[0].Host = "" },
		"all weights are zero":        func(c *Configuration) { c.Routes[0].Shares = []Share{{Service: "s"}} },
		"has weight -1":               func(c *Configuration) { c.Routes[0].Shares[1].Weight = -1 },
		"unnamed or declared twice":   func(c *Configuration) { c.Services = append(c.Services, c.Services[0]) },
	} {
		c := validConfiguration()
		change(c)
		if err := c.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error is %v, want one with %q", err, want)
		}
	}
}

// TestLongestPrefixWins looks up paths that match several prefixes, one or none.
func TestLongestPrefixWins(t *testing.T) {
	c := &Configuration{}
	for _, prefix := range []string{"/", "/a/", "/a/b/", "/ab/"} {
		c.Routes = append(c.Routes, Route{Name: prefix, Host: "h", PathPrefix: prefix})
	}
	c.Routes = append(c.Routes, Route{Name: "only", Host: "g", PathPrefix: "/only/"})
	x := NewIndex(c)
	for path, want := range map[string]string{
		"/": "/", "/x": "/", "/a": "/", "/a/": "/a/", "/a/b": "/a/", "/a/b/": "/a/b/", "/a/b/c/d": "/a/b/",
		"/ab/c": "/ab/", "/abc": "/", "//a/": "/",
	} {
		if r := x.Find("h", path); r == nil || r.Name != want {
			t.Errorf("path %q matches %v, want %q", path, r, want)
		}
	}
	if x.Find("g", "/other/") != nil || x.Find("unknown", "/") != nil {
		t.Error("a path without a route matches one")
	}
}

// TestSplitKeepsItsWeights checks that evenly spaced draws choose each service in
// proportion to its weight.
func TestSplitKeepsItsWeights(t *testing.T) {
	counts := map[string]int{}
	const draws = 1000
	for n := range draws {
		counts[validConfiguration().Routes[0].Choose(float64(n)/draws)]++
	}
	if counts["s"] != 900 || counts["other"] != 100 {
		t.Errorf("counts are %v", counts)
	}
}

// BenchmarkFind looks up one of 10,000 routes.
func BenchmarkFind(b *testing.B) {
	c := &Configuration{}
	for n := range 10_000 {
		c.Routes = append(c.Routes, Route{Host: fmt.Sprint(n % 100), PathPrefix: fmt.Sprintf("/a%d/b/", n)})
	}
	x := NewIndex(c)
	for b.Loop() {
		x.Find("7", "/a9907/b/c/d")
	}
}
