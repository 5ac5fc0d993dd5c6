package entry

import (
	"context"

	"tanagerbarrow/ledger"
	"tanagerbarrow/peer"
)

// claims reaches the ledger on the control hosts.
type claims struct{ controls []*peer.Client }

// Apply carries out a ledger command on the first control host that answers.
// Asking a second one is safe: a token's command is idempotent.
func (c *claims) Apply(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	var result ledger.Result
	var err error
	for _, control := range c.controls {
		err = control.Call(ctx, peer.MethodLedger, peer.LedgerCommand{Command: command}, &result)
		if err == nil {
			return result, nil
		}
	}
	return ledger.Result{}, err
}
