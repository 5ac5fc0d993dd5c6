// Package verdict defines verdicts, which state whether a request may have run on
// a backend server.
//
// Every error that can reach a caller carries a [Verdict]. The zero value is
// [MayHaveRun], so an error without evidence never claims that nothing ran.
package verdict
