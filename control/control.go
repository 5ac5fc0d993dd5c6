package control

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/consensus"
	"tanagerbarrow/ledger"
	"tanagerbarrow/operator"
	"tanagerbarrow/peer"
	"tanagerbarrow/platform"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
)

// watchHold is how long a watch waits for a newer configuration.
const watchHold = time.Second

// Control is one control process.
type Control struct {
	settings  *settings.Settings
	log       zerolog.Logger
	machine   *state.Machine
	config    consensus.Replicator
	replicas  *replicas
	peers     *peer.Server
	operators *platform.Server
	peerLinks net.Listener

	mu    sync.Mutex
	hosts map[string]uint64
}

// New opens the data folder and the listeners. Run serves on them.
func New(s *settings.Settings, log zerolog.Logger) (*Control, error) {
	places := state.Places{Regions: s.Regions}
	c := &Control{settings: s, log: log, machine: state.NewMachine(places), hosts: map[string]uint64{}}
	var err error
	if c.replicas, err = openReplicas(s, c.machine, log); err != nil {
		return nil, err
	}
	c.config = c.replicas.nodes[GroupConfiguration]
	c.peers = peer.NewServer(s.Access.PeerKey, log)
	c.peers.Handle(peer.MethodWatch, peer.Typed(c.watch))
	c.peers.Handle(peer.MethodLedger, peer.Typed(c.apply))
	c.peers.ServeReplicas(c.replicas.find)
	api := &operator.API{
		Key: s.Access.OperatorKey, Places: places, Machine: c.machine,
		Replicator: c.config, Hosts: c.versions, Log: log,
	}
	routes := platform.NewEcho()
	api.Register(routes)
	if c.operators, err = platform.Listen(routes, s.Control.OperatorListen, s.Limits); err != nil {
		return nil, err
	}
	c.peerLinks, err = net.Listen("tcp", s.Host.Peer.String())
	return c, errors.Wrapf(err, "listen for peers on %s", s.Host.Peer)
}

// Run serves until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(c.operators.Serve)
	g.Go(func() error { return c.peers.Serve(work, c.peerLinks) })
	c.log.Info().Stringer("operators", c.settings.Control.OperatorListen).Msg("control started")
	select {
	case <-ctx.Done():
	case <-c.replicas.failed:
	}
	err := c.operators.Shutdown(c.settings.Limits.DrainTimeout)
	err = errors.CombineErrors(err, c.replicas.close())
	err = errors.CombineErrors(err, c.peerLinks.Close())
	stop()
	c.peers.Close()
	err = errors.CombineErrors(err, g.Wait())
	c.log.Info().Err(err).Msg("control stopped")
	return err
}

// watch answers with a configuration newer than the asker's, or with nothing
// after a while. The asker's first configuration follows a read barrier.
func (c *Control) watch(ctx context.Context, w peer.Watch) (peer.Watched, error) {
	c.note(w)
	if w.Have == 0 {
		if err := c.config.ReadBarrier(ctx); err != nil {
			return peer.Watched{}, err
		}
		return peer.Watched{Configuration: c.machine.Configuration()}, nil
	}
	changed := c.machine.Changed()
	if now := c.machine.Configuration(); now.Version > w.Have {
		return peer.Watched{Configuration: now}, nil
	}
	select {
	case <-changed:
		return peer.Watched{Configuration: c.machine.Configuration()}, nil
	case <-time.After(watchHold):
		return peer.Watched{}, nil
	case <-ctx.Done():
		return peer.Watched{}, ctx.Err()
	}
}

// note remembers the version in force on a host.
func (c *Control) note(w peer.Watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[w.Host] = w.Have
}

// versions returns the version in force on each entry host.
func (c *Control) versions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]uint64, len(c.hosts))
	for host, version := range c.hosts {
		all[host] = version
	}
	return all
}

// apply carries out a ledger command.
func (c *Control) apply(ctx context.Context, p peer.LedgerCommand) (ledger.Result, error) {
	data, err := json.Marshal(p.Command)
	if err != nil {
		return ledger.Result{}, errors.Wrap(err, "encode ledger command")
	}
	group, err := c.replicas.ledger(p.Group)
	if err != nil {
		return ledger.Result{}, err
	}
	result, err := group.Propose(ctx, data)
	if err != nil {
		return ledger.Result{}, err
	}
	var r ledger.Result
	err = json.Unmarshal(result, &r)
	return r, errors.Wrap(err, "decode ledger result")
}
