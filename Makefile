# SPDX-License-Identifier: Apache-2.0

# The tests of crowds run apart from all other load.
CROWD = tanagerbarrow/bench/crowd
PACKAGES = $(filter-out $(CROWD),$(shell go list ./... ./bench/...))

.PHONY: build demo test lint

build: ## Builds both binaries into bin/.
	go build -o bin/ ./cmd/tanagerbarrow ./cmd/tanagerctl

demo: build ## Runs a small system with stand-in backend servers until Ctrl-C.
	go build -o bin/demo ./bench/cmd/demo
	bin/demo

test: ## Runs every test with the race detector.
	go test -race -count=1 -timeout 8m $(TESTFLAGS) $(PACKAGES)
	$(MAKE) crowd TESTFLAGS="$(TESTFLAGS)"

.PHONY: crowd
crowd: ## Runs the tests of callers that keep to no limit.
	go test -count=1 -timeout 20m $(TESTFLAGS) $(CROWD)

lint: bin/golangci-lint ## Checks format and style.
	bin/golangci-lint fmt --diff ./... 
	bin/golangci-lint run ./...
	cd bench && ../bin/golangci-lint run -c ../.golangci.yml ./...

bin/golangci-lint: tools/go.mod
	cd tools && GOWORK=off go build -mod=mod -o ../bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

.PHONY: bench capacity
bench: build ## Runs both deployments under load and faults; writes bench-report/.
	go build -o bin/experiment ./bench/cmd/experiment
	bin/experiment

capacity: ## Prints how the cost of each role grows with size.
	go run ./bench/cmd/capacity

.PHONY: regression
regression: ## Plays quick scores on the users' bench; FLEETBENCH is its path, SITES the folder of the site files.
	go run ./bench/cmd/regression --bench $(FLEETBENCH) --sites $(SITES)

bin/gopls: ## Installs the language server that renames identifiers.
	GOWORK=off GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@v0.23.0
