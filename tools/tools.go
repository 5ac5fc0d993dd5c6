//go:build tools

// Package tools pins the formatter and the linter apart from the product's
// own requirements.
package tools

import _ "github.com/golangci/golangci-lint/v2/cmd/golangci-lint"
