// Package telemetry provides the process's loggers, its metrics and the header of
// request identifiers.
package telemetry
