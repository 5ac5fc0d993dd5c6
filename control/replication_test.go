package control

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"tanagerbarrow/ledger"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// TestReplicasOfOneHost checks that the only control host of a region serves the
// common ledger and the ledger of its own region, and no other.
func TestReplicasOfOneHost(t *testing.T) {
	host := settings.Host{Name: "control-1", AvailabilityZone: "a", Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	s := &settings.Settings{
		Host: host, Regions: map[string]string{"a": "north", "b": "south"}, ControlHosts: []settings.Host{host},
		Control: settings.Control{DataFolder: t.TempDir()},
	}
	m := telemetry.NewMetrics()
	r, err := openReplicas(s, state.NewMachine(), m, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.close() }()
	for _, group := range []string{"", ledger.CommonGroup, ledger.GroupOf("north")} {
		log, err := r.ledger(group)
		if err != nil {
			t.Fatal(err)
		}
		if err := log.ReadBarrier(context.Background()); err != nil {
			t.Errorf("group %q: %v", group, err)
		}
	}
	for _, group := range []string{ledger.GroupOf("south"), GroupConfiguration} {
		if _, err := r.ledger(group); verdict.Of(err) != verdict.NotRun {
			t.Errorf("group %q is served as a ledger: %v", group, err)
		}
	}
	var out bytes.Buffer
	m.Set.WritePrometheus(&out)
	for _, s := range r.Statuses() {
		if want := fmt.Sprintf("tanagerbarrow_replica_leads{group=%q} 1", s.Group); !strings.Contains(out.String(), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}
