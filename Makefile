# On a fresh machine, make demo and make test need no further setup.
GO ?= go
BIN := bin

SEEDS ?= 3

# Parameters of make soak, for example: make soak SEED=7 FOR=60s INSTANCES=6
SEED ?= 1
FOR ?= 60s
INSTANCES ?= 6

FUZZ_FOR ?= 5s

.PHONY: fuzz soak bench bench-kill bench-policy bench-capacity all build demo test test-json lint generate clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs the rental-season load on six instances; the report is in out/demo.
demo: build
	BIN=$(BIN) OUT=out/demo demo/huurtoets/run.sh

# Timeout per test package. On a busy machine, gossip's tests need more than Go's default of 10 minutes.
TEST_FOR ?= 15m

# Tests that measure a process beside a crowd of clients run after all others, since they use many
# sockets.
CROWD_TESTS := ./platform/abuse
OTHER_TESTS = $(filter-out ivyridge/platform/abuse,$(shell $(GO) list ./...))

test:
	$(GO) test -race -count=1 -timeout $(TEST_FOR) $(OTHER_TESTS)
	$(GO) test -race -count=1 -timeout $(TEST_FOR) $(CROWD_TESTS)

# The tests with JSON output, from which .ci/run counts results.
test-json:
	@status=0; \
	$(GO) test -race -count=1 -timeout $(TEST_FOR) -json $(OTHER_TESTS) || status=$$?; \
	$(GO) test -race -count=1 -timeout $(TEST_FOR) -json $(CROWD_TESTS) || status=$$?; \
	exit $$status

# Fuzzes the decoders of external input. make test runs reproducible mutations instead.
fuzz:
	$(GO) test ./platform -run '^$$' -fuzz '^FuzzServer$$' -fuzztime $(FUZZ_FOR)
	$(GO) test ./platform -run '^$$' -fuzz '^FuzzItem$$' -fuzztime $(FUZZ_FOR)
	$(GO) test ./gossip -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime $(FUZZ_FOR)
	$(GO) test ./gossip -run '^$$' -fuzz '^FuzzSuspects$$' -fuzztime $(FUZZ_FOR)

lint:
	@test -z "$$(gofmt -l . | tee /dev/stderr)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Compares the policy with its baselines and with each mechanism disabled, for the
# table of docs/design/policy.md. Runs in virtual time, so results are the same on
# any machine.
bench-policy: build
	@mkdir -p out
	$(BIN)/ivyload policy -p full,fifo,strict -n $(SEEDS) | tee out/policy.txt
	$(BIN)/ivyload policy -m "x5" -a -n 1 | tee out/policy-off.txt

# Measures the control overhead per instance, for docs/CAPACITY.md.
bench-capacity: build
	$(BIN)/ivyload capacity -i 6,24,48,96
	$(BIN)/ivyload capacity -i 24 -e 64
	$(BIN)/ivyload capacity -i 24 -e 256
	$(BIN)/ivyload capacity -i 24 -m 8000
	$(BIN)/ivyload capacity -i 24 -r 50
	$(BIN)/ivyload capacity -i 24 -r 200

# Runs instances under random faults drawn from SEED; the report is in out/soak.
soak: build
	$(BIN)/ivysoak -b $(BIN)/ivyentry -s $(SEED) -f $(FOR) -i $(INSTANCES)

# Kills a cell's home under load.
bench-kill: build
	BIN=$(BIN) bench/kill.sh

# Go benchmarks of all packages.
bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Requires protoc, protoc-gen-go and protoc-gen-twirp. Generated code is committed.
generate:
	$(GO) generate ./...

clean:
	rm -rf $(BIN) out
