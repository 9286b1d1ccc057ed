GO ?= go

.PHONY: all build test race lint run clean

all: build lint test

build:
	mkdir -p bin && $(GO) build -o bin/ ./cmd/...

test:
	$(GO) test ./...

race:
	$(GO) test -race ./...

lint:
	@bad=$$(gofmt -l balance cmd internal); test -z "$$bad" || { echo "not formatted: $$bad"; exit 1; }
	$(GO) vet ./...

# Takes the EDGE_* variables from the environment.
run: build
	exec bin/cresshub

clean:
	rm -rf bin
