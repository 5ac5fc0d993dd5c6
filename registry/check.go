package registry

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// The limits of a valid record, many times what a real server reports. Whoever wrote a record,
// what lies beyond them is refused, so that it can't harm a process that reads it.
const (
	maxNameBytes = 256
	maxSlots     = 10_000
	// maxColdRemaining limits how much longer a server may say that it stays cold.
	maxColdRemaining = time.Hour
	// maxRecords limits the number of records in a table.
	maxRecords = 20_000
)

// Check returns an error that names the first invalid field, or nil. Every record is checked
// before it is used or passed on, wherever it comes from.
func (b BackendServer) Check() error {
	for _, name := range []struct {
		field, text string
		least       int
	}{{"identifier", b.ID, 1}, {"service", b.Service, 1}, {"zone", b.AvailabilityZone, 1}, {"version", b.Version, 0}} {
		if len(name.text) < name.least || len(name.text) > maxNameBytes {
			return errors.Newf("the %s has %d bytes, allowed are %d to %d", name.field, len(name.text), name.least, maxNameBytes)
		}
	}
	address, err := netip.ParseAddrPort(b.Address)
	switch {
	case err != nil:
		return errors.Wrap(err, "address")
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return errors.Newf("address %s can't be connected to", address)
	case b.Slots < 1 || b.Slots > maxSlots:
		return errors.Newf("%d slots, allowed are 1 to %d", b.Slots, maxSlots)
	case b.Started < 0:
		return errors.Newf("the start is %d", b.Started)
	case b.ColdRemaining < 0 || b.ColdRemaining > maxColdRemaining:
		return errors.Newf("the server stays cold for %s, allowed is up to %s", b.ColdRemaining, maxColdRemaining)
	}
	return nil
}
