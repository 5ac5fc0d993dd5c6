package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/ledger"
	"tanagerbarrow/peer"
)

// claimTimeout bounds one call to one control host, so that a silent one
// doesn't use up the time of an order.
const claimTimeout = time.Second

// claims reaches the ledger groups on the control hosts.
type claims struct {
	common   *claimGroup
	byRegion map[string]*claimGroup
}

// claimGroup is one ledger group and the control hosts that vote in it.
type claimGroup struct {
	name     string
	controls []*peer.Client
	// answered is the index of the control host that answered last; it is asked
	// first.
	answered atomic.Uint32
}

// newClaims returns the ledger groups of the control hosts. regions maps each
// availability zone to its region.
func newClaims(regions map[string]string, controls []*peer.Client) *claims {
	c := &claims{
		common:   &claimGroup{name: ledger.CommonGroup, controls: controls},
		byRegion: map[string]*claimGroup{},
	}
	for _, control := range controls {
		region := regions[control.Peer().AvailabilityZone]
		if c.byRegion[region] == nil {
			c.byRegion[region] = &claimGroup{name: ledger.GroupOf(region)}
		}
		group := c.byRegion[region]
		group.controls = append(group.controls, control)
	}
	return c
}

// Apply carries out a ledger command on the first control host of the group
// that answers. Asking a second one is safe: a token's command is idempotent.
func (c *claims) Apply(ctx context.Context, homes []string, command ledger.Command) (ledger.Result, error) {
	group := c.group(homes)
	if group == nil {
		return ledger.Result{}, errors.Newf("no control host stands in home regions %q", homes)
	}
	var err error
	first := int(group.answered.Load())
	for i := range group.controls {
		at := (first + i) % len(group.controls)
		var result ledger.Result
		result, err = call(ctx, group.controls[at], peer.LedgerCommand{Group: group.name, Command: command})
		if err == nil {
			group.answered.Store(uint32(at))
			return result, nil
		}
	}
	return ledger.Result{}, err
}

// call asks one control host.
func call(ctx context.Context, control *peer.Client, command peer.LedgerCommand) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var result ledger.Result
	err := control.Call(ctx, peer.MethodLedger, command, &result)
	return result, err
}

// group returns the ledger group of orders with the home regions: that of the
// first home region with a control host. It returns nil if none has one; the
// claim then goes nowhere else.
func (c *claims) group(homes []string) *claimGroup {
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
