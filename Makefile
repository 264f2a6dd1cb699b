# Targets that operators, contributors and CI share.
GO ?= go
GOBIN := $(shell $(GO) env GOPATH)/bin
GOLANGCI_VERSION := v2.12.2

.PHONY: build test lint tools demo bench spec generate

build:
	$(GO) build -o bin/toucancove ./cmd/toucancove
	$(GO) build -o bin/standin ./internal/standin/cmd/standin

# Runs every test with the race detector, bar the entries of KNOWN-RED.txt.
test:
	./.ci/test

lint:
	$(GOBIN)/golangci-lint run ./...
	$(GOBIN)/golangci-lint fmt --diff ./...

# Installs the linter and the model checker when they are missing.
tools:
	./.ci/tools

# Starts a small fleet of processes, sends traffic and prints a table.
demo: build
	./demo/run

bench:
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 1x -timeout 60m ./...

# Checks the Promela models and their mutants.
spec:
	./spec/run

# Regenerates the committed protobuf and twirp code.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer/peerpb/*.proto
	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer/relaypb/relay.proto
	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer/meshpb/mesh.proto
