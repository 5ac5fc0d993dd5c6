package state

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// testReport has service a in three zones and b in one.
var testReport = CapacityReport{Reporters: 2, Rows: []CapacityRow{
	{"a", "n1", 2, 4}, {"a", "n2", 1, 2}, {"a", "s1", 1, 2}, {"b", "n1", 3, 6},
}}

// configurationAfter returns a configuration with services a and b and the
// intents applied.
func configurationAfter(t *testing.T, intents ...Intent) *Configuration {
	t.Helper()
	c := NewConfiguration()
	for _, i := range append([]Intent{{Kind: AdmitService, Subject: "a"}, {Kind: AdmitService, Subject: "b"}}, intents...) {
		if err := i.Check(c, testTopology); err != nil {
			t.Fatal(err)
		}
		c = i.apply(c)
	}
	return c
}

func TestZoneOutFigures(t *testing.T) {
	p := NewPlan("p", Intent{Kind: TakeZoneOut, Subject: "n1"}, configurationAfter(t), testTopology, testReport)
	want := Figures{Reporters: 2, MovedPercent: 100 * 10.0 / 14, Services: []ServiceFigures{
		{"b", 3, 0, 6, 0, 100},
		{"a", 4, 2, 8, 4, 50},
	}}
	if diff := cmp.Diff(want, p.Figures); diff != "" {
		t.Fatal(diff)
	}
	if p.Refusal != "" || len(p.Warnings) != 1 || !strings.Contains(p.Warnings[0], `service "b"`) {
		t.Fatalf("refusal %q, warnings %q", p.Refusal, p.Warnings)
	}
}

func TestZoneOutThatLeavesPinsWithoutZoneNeedsForce(t *testing.T) {
	c := configurationAfter(t, Intent{Kind: PinAccount, Subject: "bank", Regions: []string{"south"}},
		Intent{Kind: PinRoute, Subject: "/a/eu", Regions: []string{"south", "north"}},
		Intent{Kind: TakeZoneOut, Subject: "s1"})
	out := Intent{Kind: TakeZoneOut, Subject: "s2"}
	p := NewPlan("p", out, c, testTopology, testReport)
	if diff := cmp.Diff([]string{"bank"}, p.Figures.AccountsWithoutZone); diff != "" || p.Refusal == "" {
		t.Fatalf("%s, refusal %q", diff, p.Refusal)
	}
	if diff := cmp.Diff([]string{"south"}, p.Figures.RegionsWithoutZone); diff != "" {
		t.Fatal(diff)
	}
	out.Force = true
	if p := NewPlan("p", out, c, testTopology, testReport); p.Refusal != "" || len(p.Warnings) == 0 {
		t.Fatalf("forced: refusal %q, warnings %q", p.Refusal, p.Warnings)
	}
}

func TestPinFigures(t *testing.T) {
	c := configurationAfter(t, Intent{Kind: PinRoute, Subject: "/a", Regions: []string{"north"}})
	p := NewPlan("p", Intent{Kind: PinAccount, Subject: "bank", Regions: []string{"south"}}, c, testTopology, testReport)
	if diff := cmp.Diff([]string{"/a"}, p.Figures.ConflictingPins); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"south/b"}, p.Figures.HomeRegionsWithoutServer); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(ServiceFigures{"b", 3, 0, 6, 0, 100}, p.Figures.Services[0]); diff != "" {
		t.Error(diff)
	}
}

func TestLimitsOverlayAndClear(t *testing.T) {
	c := configurationAfter(t, Intent{Kind: SetServiceLimits, Subject: "a", ServiceLimits: &ServiceLimits{QueueLength: pointer(5), HedgePercent: pointer(0)}},
		Intent{Kind: SetServiceLimits, Subject: "a", ServiceLimits: &ServiceLimits{QueueLength: pointer(7)}})
	want := ServiceLimits{QueueLength: pointer(7), HedgePercent: pointer(0)}
	if diff := cmp.Diff(want, c.Services["a"].Limits); diff != "" {
		t.Fatal(diff)
	}
	c = Intent{Kind: ClearServiceLimits, Subject: "a"}.apply(c)
	if diff := cmp.Diff(ServiceLimits{}, c.Services["a"].Limits); diff != "" {
		t.Fatal(diff)
	}
}

func TestInvalidIntentsAreRefused(t *testing.T) {
	c := configurationAfter(t)
	for _, i := range []Intent{
		{Kind: "dance", Subject: "a"},
		{Kind: AdmitService},
		{Kind: AdmitService, Subject: "a"},
		{Kind: AdmitService, Subject: "x/y"},
		{Kind: RetireService, Subject: "c"},
		{Kind: TakeZoneOut, Subject: "nowhere"},
		{Kind: BringZoneBack, Subject: "n1"},
		{Kind: PinAccount, Subject: "bank"},
		{Kind: PinAccount, Subject: "bank", Regions: []string{"west"}},
		{Kind: PinRoute, Subject: "a", Regions: []string{"north"}},
		{Kind: UnpinRoute, Subject: "/a"},
		{Kind: SetServiceLimits, Subject: "a"},
		{Kind: SetServiceLimits, Subject: "a", ServiceLimits: &ServiceLimits{}},
		{Kind: SetServiceLimits, Subject: "a", ServiceLimits: &ServiceLimits{RetryPercent: pointer(101)}},
		{Kind: SetServiceLimits, Subject: "c", ServiceLimits: &ServiceLimits{RetryPercent: pointer(1)}},
		{Kind: SetAccountLimits, Subject: "bank", AccountLimits: &AccountLimits{ShareWeight: pointer(0)}},
		{Kind: ClearAccountLimits, Subject: "bank"},
		{Kind: AdmitService, Subject: strings.Repeat("x", maxSubjectBytes+1)},
	} {
		if p := NewPlan("p", i, c, testTopology, testReport); p.Refusal == "" {
			t.Errorf("intent %+v was not refused", i)
		}
	}
}

func TestDigestCoversFigures(t *testing.T) {
	c := configurationAfter(t)
	i := Intent{Kind: TakeZoneOut, Subject: "n1"}
	if NewPlan("p", i, c, testTopology, testReport).Digest == NewPlan("p", i, c, testTopology, CapacityReport{}).Digest {
		t.Fatal("plans with different figures have the same digest")
	}
}
