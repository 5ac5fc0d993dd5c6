// Package request classifies requests by their headers alone: it determines the
// service, class, client account, home regions and deadline. It also verifies the
// digests of bodies.
package request
