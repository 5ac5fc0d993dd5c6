package control

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/access"
	"tanagerbarrow/consensus"
	"tanagerbarrow/ledger"
	"tanagerbarrow/operator"
	"tanagerbarrow/peer"
	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
)

// Control is one control process.
type Control struct {
	settings  *settings.Settings
	log       zerolog.Logger
	machine   *state.Machine
	config    consensus.Replicator
	replicas  *replicas
	peers     *peer.Server
	operators *serving.Server
	peerLinks net.Listener

	distribution *distribution
	metrics      *telemetry.Metrics
}

// New opens the data folder and the listeners. Run serves on them.
func New(s *settings.Settings, log zerolog.Logger) (*Control, error) {
	places := state.Topology{Regions: s.Regions}
	c := &Control{settings: s, log: log, machine: state.NewMachine(), metrics: telemetry.NewMetrics()}
	secure, err := access.LoadTLS(s.Access.TLS)
	if err != nil {
		return nil, err
	}
	if c.replicas, err = openReplicas(s, c.machine, c.metrics, log); err != nil {
		return nil, err
	}
	c.config = c.replicas.nodes[GroupConfiguration]
	c.peers = peer.NewServer(s.Access.PeerKey, log)
	c.peers.UseTLS(secure.PeerServer())
	c.peers.UseMetrics(c.metrics.Set)
	c.distribution = newDistribution(s, c.machine.Feed(), c.config, log)
	c.distribution.register(c.peers)
	c.peers.Handle(peer.MethodLedger, peer.Typed(c.apply))
	c.peers.ServeReplicas(c.replicas.find)
	api := &operator.API{
		Key: s.Access.OperatorKey, Topology: places, Machine: c.machine,
		Replicator: c.config, Capacity: c.distribution, Hosts: c.distribution.hosts,
		Replicas: c.replicas, Metrics: c.metrics, Log: log,
	}
	routes := serving.NewEcho()
	api.Register(routes)
	if c.operators, err = serving.Listen(routes, s.Control.OperatorListen, s.Limits); err != nil {
		return nil, err
	}
	c.operators.UseTLS(secure.OperatorServer())
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
	g.Go(func() error { return c.distribution.run(work) })
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

// apply carries out a ledger command.
func (c *Control) apply(ctx context.Context, p peer.LedgerCommand) (ledger.Result, error) {
	p.Command.Now = time.Now().UnixMilli()
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
