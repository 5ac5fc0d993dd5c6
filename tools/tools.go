//go:build tools

// Package tools pins the versions of the formatter and the linter in a module of
// its own, so that the product does not depend on their requirements.
package tools

import _ "github.com/golangci/golangci-lint/v2/cmd/golangci-lint"
