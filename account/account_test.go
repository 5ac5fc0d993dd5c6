package account

import (
	"slices"
	"strings"
	"testing"
)

// TestSharedNamesAndKeysAreRefused breaks one rule at a time. No error may contain a key.
func TestSharedNamesAndKeysAreRefused(t *testing.T) {
	one, two := DigestOf("one-key"), DigestOf("two-key")
	for want, accounts := range map[string][]Account{
		"":                  {{Name: "a", Keys: []Digest{one}}, {Name: "b", Keys: []Digest{two}}, {Name: "c"}},
		"unnamed":           {{Keys: []Digest{one}}},
		"declared twice":    {{Name: "a"}, {Name: "a"}},
		`"a" and "b" share`: {{Name: "a", Keys: []Digest{one}}, {Name: "b", Keys: []Digest{two, one}}},
		`"a" and "a" share`: {{Name: "a", Keys: []Digest{one, one}}},
		"an empty key":      {{Name: "a", Keys: []Digest{DigestOf("")}}},
	} {
		err := Check(accounts)
		if (err == nil) != (want == "") || err != nil && (!strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "-key")) {
			t.Errorf("error is %v, want one with %q", err, want)
		}
	}
}

// TestKeysFindTheirAccount looks up held, unknown and empty keys.
func TestKeysFindTheirAccount(t *testing.T) {
	x := NewIndex([]Account{{Name: "a", Keys: []Digest{DigestOf("one"), DigestOf("two")}}, {Name: "b"}})
	for key, want := range map[string]string{"one": "a", "two": "a", "three": "", "": "", "On": ""} {
		got := x.ByKey(DigestOf(key))
		if (got == nil) != (want == "") || got != nil && got.Name != want {
			t.Errorf("key %q finds %v, want %q", key, got, want)
		}
	}
	if x.ByName("b") == nil || x.ByName("c") != nil || x.Empty() || !NewIndex(nil).Empty() {
		t.Error("names find other accounts")
	}
}

// TestCommonRegions checks each kind of two declarations.
func TestCommonRegions(t *testing.T) {
	for _, c := range []struct{ a, b, want []string }{
		{nil, nil, nil},
		{[]string{"x"}, nil, []string{"x"}},
		{nil, []string{"x"}, []string{"x"}},
		{[]string{"x", "y"}, []string{"y", "z"}, []string{"y"}},
		{[]string{"x"}, []string{"y"}, []string{NoRegion}},
	} {
		if got := CommonRegions(c.a, c.b); !slices.Equal(got, c.want) {
			t.Errorf("%v and %v have %v in common, want %v", c.a, c.b, got, c.want)
		}
	}
}
