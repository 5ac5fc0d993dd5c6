// Command demo runs a control process, two entries and three stand-in backend
// servers in one process on loopback until Ctrl-C.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/bench/standin"
	"tanagerbarrow/control"
	"tanagerbarrow/entry"
	"tanagerbarrow/operator"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
)

// service is the demo's only service.
const service = "catalogue"

// standIns is the number of stand-in backend servers.
const standIns = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run starts everything and waits for the end of ctx.
func run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "tanagerbarrow-demo-")
	if err != nil {
		return errors.Wrap(err, "create the demo's folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	system, err := cluster.WriteSettings(folder, cluster.Size{
		Controls: 1, Entries: 2,
		Zones:         map[string]string{"arkhangai-a": "arkhangai", "arkhangai-b": "arkhangai"},
		ZoneOrder:     []string{"arkhangai-a", "arkhangai-b"},
		ExtraSettings: "[limits]\nstop-delay = 100ms",
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	if err := start(ctx, &g, system); err != nil {
		return err
	}
	for i := range standIns {
		s, err := standin.Start(standin.Options{
			Service: service, AvailabilityZone: system.Entries[i%2].Zone, Slots: 2, Generation: 1,
			Entries: system.AdminAddresses(), AnnounceKey: cluster.AnnounceKey,
			ServiceTime: 5 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		defer s.Close()
		fmt.Printf("backend server  http://%s\n", s.Address())
	}
	if err := admit(system); err != nil {
		return err
	}
	explain(system)
	<-ctx.Done()
	return g.Wait()
}

// start runs the processes of the system in the background.
func start(ctx context.Context, g *errgroup.Group, system *cluster.System) error {
	for _, p := range append(system.Controls, system.Entries...) {
		s, role, err := settings.Load(p.SettingsFile)
		if err != nil {
			return err
		}
		log := zerolog.Nop()
		if role == settings.RoleControl {
			c, err := control.New(s, log)
			if err != nil {
				return err
			}
			g.Go(func() error { return c.Run(ctx) })
			continue
		}
		e, err := entry.New(s, log)
		if err != nil {
			return err
		}
		g.Go(func() error { return e.Run(ctx) })
	}
	return nil
}

// admit admits the demo's service as an operator would.
func admit(system *cluster.System) error {
	c := operator.NewClient("http://"+system.Controls[0].Operator.String(), cluster.OperatorKey)
	p, err := c.Plan(state.Intent{Kind: state.AdmitService, Subject: service})
	if err != nil {
		return err
	}
	_, err = c.Confirm(p.ID, operator.Confirmation{Operator: "demo", Digest: p.Digest})
	return err
}

// explain prints what runs where and what to try.
func explain(system *cluster.System) {
	operators := system.Controls[0].Operator
	for _, p := range system.Entries {
		fmt.Printf("entry           http://%s (%s, admin http://%s)\n", p.Caller, p.Zone, p.Admin)
	}
	fmt.Printf("control         http://%s\n\nTry:\n", operators)
	fmt.Printf("  curl -i http://%s/%s/bells\n", system.Entries[0].Caller, service)
	fmt.Printf("  bin/tanagerctl --server http://%s --key %s status\n\nCtrl-C stops.\n", operators, cluster.OperatorKey)
}
