package peer

import "tanagerbarrow/balance"

// MethodLoad reports load to another entry of the same region. Its parameters
// are a [LoadReport] and its result is a [LoadReply].
const MethodLoad = "load.report"

// LoadReport is the load report of one entry to another.
type LoadReport struct{ balance.Report }

// LoadReply is the response to a [LoadReport].
type LoadReply struct{ balance.Reply }
