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

// service is the only service of the demo.
const service = "catalogue"

// standInCount is the number of stand-in backend servers.
const standInCount = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run starts the system and the backend servers, and waits until ctx is done.
func run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "tanagerbarrow-demo-")
	if err != nil {
		return errors.Wrap(err, "create a temporary folder")
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
	if err := startProcesses(ctx, &g, system); err != nil {
		return err
	}
	for i := range standInCount {
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
	if err := admitService(system); err != nil {
		return err
	}
	printInstructions(system)
	<-ctx.Done()
	return g.Wait()
}

// startProcesses runs the control process and the entries in goroutines of g.
func startProcesses(ctx context.Context, g *errgroup.Group, system *cluster.System) error {
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

// admitService admits the service of the demo through the operator API.
func admitService(system *cluster.System) error {
	c := operator.NewClient("http://"+system.Controls[0].Operator.String(), cluster.OperatorKey)
	p, err := c.Plan(state.Intent{Kind: state.AdmitService, Subject: service})
	if err != nil {
		return err
	}
	_, err = c.Confirm(p.ID, operator.Confirmation{Operator: "demo", Digest: p.Digest})
	return err
}

// printInstructions prints the addresses of the processes and example commands.
func printInstructions(system *cluster.System) {
	operators := system.Controls[0].Operator
	for _, p := range system.Entries {
		fmt.Printf("entry           http://%s (%s, admin http://%s)\n", p.Caller, p.Zone, p.Admin)
	}
	fmt.Printf("control         http://%s\n\nTry:\n", operators)
	fmt.Printf("  curl -i http://%s/%s/bells\n", system.Entries[0].Caller, service)
	fmt.Printf("  bin/tanagerctl --server http://%s --key %s status\n\nCtrl-C stops.\n", operators, cluster.OperatorKey)
}
