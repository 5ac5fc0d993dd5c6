// Package telemetry holds the process's log, metrics and request identifiers.
package telemetry
