// Package request decides, from the headers alone, what a request is: its
// service, its class, its client account, its home regions and its deadline.
package request
