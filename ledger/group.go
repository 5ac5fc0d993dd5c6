package ledger

// CommonGroup is the ledger group of orders without home regions.
const CommonGroup = "ledger"

// GroupOf returns the name of the ledger group of a region. Its voters are the
// control hosts of that region.
func GroupOf(region string) string { return CommonGroup + "-" + region }
