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
	"tanagerbarrow/bodybuf"
	"tanagerbarrow/consensus"
	"tanagerbarrow/ledger"
	"tanagerbarrow/operator"
	"tanagerbarrow/peer"
	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
)

// Control is a control process: the replicas of its host, the operator API, and
// the RPC server for entries and other control hosts.
type Control struct {
	settings         *settings.Settings
	log              zerolog.Logger
	machine          *state.Machine
	configReplicator consensus.Replicator
	replicas         *replicas
	peerServer       *peer.Server
	operatorServer   *serving.Server
	peerListener     net.Listener

	distribution *distribution
	metrics      *telemetry.Metrics
}

// New opens the replicas in the data folder and the listeners, on which
// [Control.Run] serves.
func New(s *settings.Settings, log zerolog.Logger) (*Control, error) {
	topology := state.Topology{Regions: s.Regions}
	c := &Control{settings: s, log: log, machine: state.NewMachine(), metrics: telemetry.NewMetrics()}
	secure, err := access.LoadTLS(s.Access.TLS)
	if err != nil {
		return nil, err
	}
	if c.replicas, err = openReplicas(s, c.machine, c.metrics, log); err != nil {
		return nil, err
	}
	c.configReplicator = c.replicas.nodes[GroupConfiguration]
	c.peerServer = peer.NewServer(s.Access.PeerKey, log)
	c.peerServer.UseTLS(secure.PeerServer())
	c.peerServer.UseMetrics(c.metrics.Set)
	c.distribution = newDistribution(s, c.machine.Feed(), c.configReplicator, log)
	c.distribution.register(c.peerServer)
	c.peerServer.Handle(peer.MethodLedger, peer.Typed(c.applyLedgerCommand))
	c.peerServer.ServeReplicas(c.replicas.find)
	api := &operator.API{
		Key: s.Access.OperatorKey, Topology: topology, Machine: c.machine,
		Replicator: c.configReplicator, Capacity: c.distribution, Hosts: c.distribution.hostStatuses,
		Replicas: c.replicas, Metrics: c.metrics, Log: log,
	}
	routes := serving.NewEcho()
	api.Register(routes)
	if c.operatorServer, err = serving.Listen(routes, s.Control.OperatorListen, s.Limits); err != nil {
		return nil, err
	}
	heads := bodybuf.NewBudget(s.Limits.MaxHeadMemory)
	guard := serving.NewGuard(serving.GuardOptions{Name: "operators", Memory: heads, Log: log, Metrics: c.metrics.Set})
	heads.Reclaim = guard.Reclaim
	c.operatorServer.Guarded(guard)
	c.operatorServer.UseTLS(secure.OperatorServer())
	c.peerListener, err = net.Listen("tcp", s.Host.Peer.String())
	return c, errors.Wrapf(err, "listen for peers on %s", s.Host.Peer)
}

// Run serves until ctx ends or a replica fails, and then shuts down.
func (c *Control) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(c.operatorServer.Serve)
	g.Go(func() error { return c.peerServer.Serve(serveCtx, c.peerListener) })
	g.Go(func() error { return c.distribution.run(serveCtx) })
	c.log.Info().Stringer("operators", c.settings.Control.OperatorListen).Msg("control started")
	select {
	case <-ctx.Done():
	case <-c.replicas.failed:
	}
	err := c.operatorServer.Shutdown(c.settings.Limits.DrainTimeout)
	err = errors.CombineErrors(err, c.replicas.close())
	err = errors.CombineErrors(err, c.peerListener.Close())
	stop()
	c.peerServer.Close()
	err = errors.CombineErrors(err, g.Wait())
	c.log.Info().Err(err).Msg("control stopped")
	return err
}

// applyLedgerCommand proposes a ledger command to the replica of its group and
// returns the result. It sets the time of the command.
func (c *Control) applyLedgerCommand(ctx context.Context, p peer.LedgerCommand) (ledger.Result, error) {
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
