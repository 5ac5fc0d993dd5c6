// Package rollout decides how a new version of a service is brought in: how many requests it
// may get while it is unknown whether it is good, whether its responses are worse than those of
// the old version, and when the service switches over.
//
// The statistics are those of the field. The verdict is a sequential probability ratio test
// (Wald, Sequential Tests of Statistical Hypotheses, 1945) of the canary's rate of bad responses
// against the baseline's at the same time. It is taken over windows that end now, as in the
// cumulative sum test (Page, Continuous Inspection Schemes, 1954), so that a version that turns
// bad late is found as fast as one that was bad from the start. The alternative hypothesis is
// the rate that was seen (Lorden, Procedures for Reacting to a Change in Distribution, 1971).
//
// Decisions are pure: time and random numbers are passed in.
package rollout
