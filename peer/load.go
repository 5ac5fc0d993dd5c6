package peer

import "tanagerbarrow/balance"

// MethodLoad tells another entry of the same region about load. Its parameters
// are a [LoadReport] and its result a [LoadReply].
const MethodLoad = "load.report"

// LoadReport is what one entry tells another about load.
type LoadReport struct{ balance.Report }

// LoadReply answers a [LoadReport].
type LoadReply struct{ balance.Reply }
