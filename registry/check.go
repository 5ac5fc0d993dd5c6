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
	address, err := netip.ParseAddrPort(b.Address)
	switch {
	case b.ID == "" || len(b.ID) > maxNameBytes:
		return errors.Newf("the identifier has %d bytes, allowed are 1 to %d", len(b.ID), maxNameBytes)
	case b.Service == "" || len(b.Service) > maxNameBytes:
		return errors.Newf("the service has %d bytes, allowed are 1 to %d", len(b.Service), maxNameBytes)
	case b.AvailabilityZone == "" || len(b.AvailabilityZone) > maxNameBytes:
		return errors.Newf("the zone has %d bytes, allowed are 1 to %d", len(b.AvailabilityZone), maxNameBytes)
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
