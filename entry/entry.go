package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/access"
	"tanagerbarrow/backend"
	"tanagerbarrow/balance"
	"tanagerbarrow/bodybuf"
	"tanagerbarrow/caller"
	"tanagerbarrow/dispatch"
	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
	"tanagerbarrow/peer"
	"tanagerbarrow/serving"
	"tanagerbarrow/settings"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
)

// The reasons why an entry is not ready, as reported to the platform.
const (
	reasonNoConfiguration = "no configuration"
	reasonStopping        = "stopping"
	reasonZoneOut         = "availability zone out"
	reasonFenced          = "cut off"
	reasonJoining         = "joining the other entries"
)

// handOverTimeout limits the handover of leases when the entry stops.
const handOverTimeout = 2 * time.Second

// Entry is one entry process.
type Entry struct {
	settings      *settings.Settings
	log           zerolog.Logger
	metrics       *telemetry.Metrics
	readiness     *serving.Readiness
	entryClients  peerClients
	members       *membership.Node
	follower      *follower
	returnedZones balance.ReturnedZones
	balancer      *dispatch.Balancer
	sharer        *loadSharer
	peers         *peer.Server
	callers       *serving.Server
	admin         *serving.Server
	peerListener  net.Listener

	dispatcher *dispatch.Dispatcher
}

// New opens the listeners of an entry. Run serves on them.
func New(s *settings.Settings, log zerolog.Logger) (*Entry, error) {
	tls, err := access.LoadTLS(s.Access.TLS)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings: s, log: log,
		metrics:      telemetry.NewMetrics(),
		readiness:    serving.NewReadiness(reasonNoConfiguration, reasonJoining),
		entryClients: newPeerClients(s),
	}
	e.members = newNode(s, e.entryClients)
	controls := clients(s, s.ControlHosts)
	e.follower = newFollower(s, controls, clients(s, s.EntryHosts), log)
	e.follower.beforeApply = func(c *state.Configuration) { e.returnedZones.Apply(c.ZonesOut, time.Now()) }
	e.follower.afterApply, e.follower.fenceChanged = e.configurationApplied, e.fenceChanged
	e.follower.members = e.members.Table().View
	if err := e.follower.openStore(s.Entry.DataFolder); err != nil {
		return nil, err
	}
	e.follower.registerMetrics(e.metrics.Set)
	e.peers = peer.NewServer(s.Access.PeerKey, log)
	e.peers.UseTLS(tls.PeerServer())
	e.peers.UseMetrics(e.metrics.Set)
	handleMembership(e.peers, e.members)
	e.balancer = e.newBalancer()
	e.sharer = newLoadSharer(s, e.balancer, e.metrics)
	e.peers.Handle(peer.MethodLoad, peer.Typed(e.sharer.accept))
	e.peers.Handle(peer.MethodWatch, peer.Typed(e.follower.serveWatch))
	return e, e.listen(controls)
}

// listen opens the listeners for callers, the platform and backend servers, and
// peers.
func (e *Entry) listen(controls []*peer.Client) error {
	var err error
	if e.callers, err = serving.Listen(e.callerRoutes(controls), e.settings.Entry.CallerListen, e.settings.Limits); err != nil {
		return err
	}
	if e.admin, err = serving.Listen(e.adminRoutes(), e.settings.Entry.AdminListen, e.settings.Limits); err != nil {
		return err
	}
	heads := bodybuf.NewBudget(e.settings.Limits.MaxHeadMemory)
	callers := serving.NewGuard(serving.GuardOptions{Name: "callers", Memory: heads, Log: e.log, Metrics: e.metrics.Set})
	admin := serving.NewGuard(serving.GuardOptions{Name: "admin", Memory: heads, Log: e.log, Metrics: e.metrics.Set})
	heads.Reclaim = func(bytes int64) bool { return callers.Reclaim(bytes) || admin.Reclaim(bytes) }
	e.callers.Guarded(callers)
	e.admin.Guarded(admin)
	e.peerListener, err = net.Listen("tcp", e.settings.Host.Peer.String())
	return errors.Wrapf(err, "listen for peers on %s", e.settings.Host.Peer)
}

// callerRoutes returns the routes for callers.
func (e *Entry) callerRoutes(controls []*peer.Client) *echo.Echo {
	e.dispatcher = &dispatch.Dispatcher{
		Exchanger: e.newExchanger(),
		Ledger:    newLedgerClient(e.settings.Regions, controls),
		Retries:   limit.NewRetryBudget(),
		Balancer:  e.newPicker(),
	}
	front := &caller.Frontend{
		Configuration:  e.follower.serving,
		Dispatcher:     e.dispatcher,
		Region:         e.settings.Region(),
		HomeEntries:    e.homeEntries,
		RequestTimeout: e.settings.Limits.RequestTimeout,
		MaxBodyBytes:   e.settings.Limits.MaxBodyBytes,
		Log:            e.log,
		Metrics:        e.metrics,
	}
	routes := serving.NewEcho()
	front.Register(routes)
	return routes
}

// awaitJoined keeps the entry unready until it has received the backend servers
// that the other entries know, or until ctx ends.
func (e *Entry) awaitJoined(ctx context.Context) {
	select {
	case <-e.members.Joined():
		e.readiness.Set(reasonJoining, false)
	case <-ctx.Done():
	}
}

// newExchanger returns an exchanger that reports backend servers that are leaving
// to the membership.
func (e *Entry) newExchanger() *backend.Exchanger {
	x := backend.NewExchanger()
	x.OnLeaving = e.members.SetLeaving
	return x
}

// adminRoutes returns the routes for backend servers, the platform and operators.
func (e *Entry) adminRoutes() *echo.Echo {
	routes := serving.NewEcho()
	announceHandler := &backend.AnnounceHandler{
		Key: e.settings.Access.AnnounceKey, Regions: e.settings.Regions,
		Announce: e.members.Announce,
	}
	announceHandler.Register(routes)
	e.readiness.Register(routes)
	routes.GET(MembersPath, e.listMembers)
	routes.GET("/metrics", func(c echo.Context) error {
		e.metrics.Write(c.Response())
		return nil
	})
	return routes
}

// Run serves until ctx ends and then shuts down gracefully. It returns the errors
// of the shutdown and of the listeners.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(e.callers.Serve)
	g.Go(e.admin.Serve)
	g.Go(func() error { return e.peers.Serve(work, e.peerListener) })
	g.Go(func() error { return e.follower.run(work) })
	g.Go(func() error { return e.members.Run(work) })
	g.Go(func() error {
		e.awaitJoined(work)
		return nil
	})
	g.Go(func() error { return e.sharer.run(work) })
	e.log.Info().Stringer("callers", e.settings.Entry.CallerListen).Msg("entry started")
	<-ctx.Done()
	err := e.shutdown()
	stop()
	return errors.CombineErrors(err, g.Wait())
}

// shutdown stops gracefully: it reports the entry as unready, disables keep-alive
// connections, hands the leases over, waits until the platform's load balancer
// has had time to notice, completes requests in progress and closes the
// listeners.
func (e *Entry) shutdown() error {
	e.readiness.Set(reasonStopping, true)
	e.callers.DisableKeepAlives(true)
	delay := time.After(e.settings.Limits.StopDelay)
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	err := e.members.HandOver(ctx)
	<-delay
	err = errors.CombineErrors(err, e.callers.Shutdown(e.settings.Limits.DrainTimeout))
	e.dispatcher.Drain()
	err = errors.CombineErrors(err, e.admin.Shutdown(e.settings.Limits.DrainTimeout))
	err = errors.CombineErrors(err, e.peerListener.Close())
	e.peers.Close()
	e.entryClients.close()
	e.log.Info().Err(err).Msg("entry stopped")
	return err
}

// homeEntries returns the addresses for callers of the entries in the regions. It
// assumes that all entries listen for callers on the port that this one uses, on
// the IP address of their peer address.
func (e *Entry) homeEntries(regions []string) []string {
	var found []string
	for _, h := range e.settings.EntryHosts {
		for _, region := range regions {
			if e.settings.Regions[h.AvailabilityZone] == region {
				port := e.settings.Entry.CallerListen.Port()
				found = append(found, netip.AddrPortFrom(h.Peer.Addr(), port).String())
			}
		}
	}
	return found
}

// clients returns a client for each of the hosts except this one.
func clients(s *settings.Settings, hosts []settings.Host) []*peer.Client {
	var all []*peer.Client
	for _, h := range hosts {
		if h.Peer != s.Host.Peer {
			all = append(all, peer.NewClient(s.Host.Name, s.Access.PeerKey, h).UseTLS(s.Access.TLS))
		}
	}
	return all
}
