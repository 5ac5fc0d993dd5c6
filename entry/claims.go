package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus"
	"tanagerbarrow/ledger"
	"tanagerbarrow/peer"
)

// ledgerCallTimeout limits one call to one control host, so that a host that
// doesn't respond can't use up the time until an order's deadline.
const ledgerCallTimeout = time.Second

// ledgerClient sends ledger commands to the ledger groups on the control hosts.
type ledgerClient struct {
	common   *ledgerGroup
	byRegion map[string]*ledgerGroup
}

// ledgerGroup is one ledger group and the control hosts that vote in it.
type ledgerGroup struct {
	name     string
	controls []*peer.Client
	// lastResponder is the index of the control host that responded last. The
	// next command goes to it first.
	lastResponder atomic.Uint32
}

// newLedgerClient returns a client for the common ledger group, which all control
// hosts form, and one group for each region with a control host. regions maps
// each availability zone to its region.
func newLedgerClient(regions map[string]string, controls []*peer.Client) *ledgerClient {
	c := &ledgerClient{
		common:   &ledgerGroup{name: ledger.CommonGroup, controls: controls},
		byRegion: map[string]*ledgerGroup{},
	}
	for _, control := range controls {
		region := regions[control.Peer().AvailabilityZone]
		if c.byRegion[region] == nil {
			c.byRegion[region] = &ledgerGroup{name: ledger.GroupOf(region)}
		}
		group := c.byRegion[region]
		group.controls = append(group.controls, control)
	}
	return c
}

// Apply sends a ledger command to the control hosts of the group of the home
// regions, one after another, until one responds. Sending it again is safe, because
// a command is idempotent for its token: hosts that were reached and did not respond in
// time, since their disks are slow, are asked again until ctx ends. Apply returns an
// error if no home region has a control host, or that of the last call if none responds.
func (c *ledgerClient) Apply(ctx context.Context, homes []string, command ledger.Command) (ledger.Result, error) {
	group := c.group(homes)
	if group == nil {
		return ledger.Result{}, errors.Newf("no control host stands in home regions %q", homes)
	}
	for {
		result, slow, err := group.applyOnAny(ctx, command)
		if err == nil || !slow || ctx.Err() != nil {
			return result, err
		}
	}
}

// applyOnAny sends a ledger command to the control hosts, one after another, until one
// responds. It returns the error of the last call if none does, and whether any was
// reached and did not respond in time.
func (g *ledgerGroup) applyOnAny(ctx context.Context, command ledger.Command) (result ledger.Result, slow bool, err error) {
	first := int(g.lastResponder.Load())
	for i := range g.controls {
		index := (first + i) % len(g.controls)
		result, err = applyOn(ctx, g.controls[index], peer.LedgerCommand{Group: g.name, Command: command})
		if err == nil {
			g.lastResponder.Store(uint32(index))
			return result, false, nil
		}
		slow = slow || errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, consensus.ErrNotConnected)
	}
	return ledger.Result{}, slow, err
}

// applyOn sends a ledger command to one control host.
func applyOn(ctx context.Context, control *peer.Client, command peer.LedgerCommand) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerCallTimeout)
	defer cancel()
	var result ledger.Result
	err := control.Call(ctx, peer.MethodLedger, command, &result)
	return result, err
}

// group returns the ledger group of orders with the home regions: the common one
// if there are no home regions, else that of the first one with a control host.
// It returns nil if none has a control host, since the claim must not be stored
// outside the home regions.
func (c *ledgerClient) group(homes []string) *ledgerGroup {
	if len(homes) == 0 {
		return c.common
	}
	for _, region := range homes {
		if group := c.byRegion[region]; group != nil {
			return group
		}
	}
	return nil
}
