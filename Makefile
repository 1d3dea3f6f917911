# All set-up on a fresh machine: make demo, make test.
GO ?= go
BIN := bin

.PHONY: all build demo test test-json lint generate clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# The main job: six instances carry the rental-season wave; report in out/demo.
demo: build
	BIN=$(BIN) OUT=out/demo demo/huurtoets/run.sh

test:
	$(GO) test -race -count=1 ./...

# The same as test, for .ci/run to count.
test-json:
	@$(GO) test -race -count=1 -json ./...

lint:
	@test -z "$$(gofmt -l . | tee /dev/stderr)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

clean:
	rm -rf $(BIN) out
