GO ?= go
GOLANGCI_LINT_VERSION := v2.15.0
GOLANGCI_LINT := bin/tools/$(GOLANGCI_LINT_VERSION)/golangci-lint

.PHONY: all build test race lint run bench clean

all: build lint test

build:
	mkdir -p bin && $(GO) build -o bin/ ./cmd/...

# KNOWN_RED is a pattern of tests to pass over; .ci/run makes it of KNOWN-RED.txt.
test:
	$(GO) test $${KNOWN_RED:+-skip "$$KNOWN_RED"} ./...

race:
	$(GO) test -race ./...

# The linter is a tool of its own in bin/tools, so that go.mod lists only what the programs need.
lint: $(GOLANGCI_LINT)
	@bad=$$(gofmt -l balance cmd internal); test -z "$$bad" || { echo "not formatted: $$bad"; exit 1; }
	$(GO) vet ./...
	$(GO) vet -tags router_only ./...
	$(GOLANGCI_LINT) run ./...

$(GOLANGCI_LINT):
	GOBIN=$(CURDIR)/bin/tools/$(GOLANGCI_LINT_VERSION) $(GO) install \
		github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

# Takes the EDGE_* variables from the environment.
run: build
	exec bin/cresshub serve

clean:
	rm -rf bin

# What a request costs, beside net/http/httputil.ReverseProxy. BENCH_BINARIES=name=path,... adds whole
# programs, with their start-up time and resident memory.
bench:
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 3s ./cmd/cresshub
