GO ?= go

.PHONY: run test crowd soak lockorder regressions lint model generate placement balance capacity

# run starts a small hall on loopback.
run:
	$(GO) run ./cmd/barleystep-dev

# test passes all tests with the race detector on, but for the control plane's scenes, at
# which it falls over: these follow without it.
test:
	skip=$$(.ci/known-red.sh); $(GO) test -race -timeout 45m $${skip:+-skip "$$skip"} ./...
	skip=$$(.ci/known-red.sh); $(GO) test -timeout 20m $${skip:+-skip "$$skip"} ./internal/plane

# crowd runs clients that do not keep to the limits at the programs, built without the race detector, whose
# memory would be measured too. The tests run one at a time, beside no others.
crowd:
	skip=$$(.ci/known-red.sh); $(GO) test -tags crowd -count=1 -timeout 15m $${skip:+-skip "$$skip"} ./platform/crowd

# soak runs processes under faults drawn from SEED for LENGTH and checks every promise.
SEED ?= 2
LENGTH ?= 20s
soak:
	$(GO) build -o target/ ./cmd/barleystep-soak
	target/barleystep-soak --seed $(SEED) --length $(LENGTH)

# lockorder runs the tests of the packages that hold locks, and a short soak, with locks that check their
# order.
LOCKORDER := mutex conn follow front gossip lead peer relay router suspect version
lockorder:
	skip=$$(.ci/known-red.sh); $(GO) test -tags lockorder -timeout 10m $${skip:+-skip "$$skip"} $(LOCKORDER:%=./internal/%)
	$(GO) build -tags lockorder -o target/barleystep-soak-lockorder ./cmd/barleystep-soak
	target/barleystep-soak-lockorder --seed $(SEED) --length 10s

# regressions runs the seeds of the soak that have failed once, with --ci those of CI.
REGRESSIONS ?=
regressions:
	$(GO) build -o target/ ./cmd/barleystep-soak
	target/barleystep-soak regressions $(REGRESSIONS)

# lint checks formatting and the linter's rules with the pinned linter.
lint:
	cd tools/lint && $(GO) build -o ../../build/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint
	build/golangci-lint fmt --diff
	build/golangci-lint run ./...
	cd tools/lint && $(GO) test -count=1 ./...

# model checks the specifications with spin.
model:
	docs/spec/check.sh

# generate makes the committed code from api/*.proto anew.
generate:
	cd tools/gen && $(GO) build -o ../../build/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH="$(CURDIR)/build:$$PATH" build/buf generate

# placement measures the decisions and writes the tables of docs/placement-tables.md.
placement:
	$(GO) run ./cmd/barleystep-trial > docs/placement-tables.md.new
	mv docs/placement-tables.md.new docs/placement-tables.md

# capacity measures the slopes of docs/CAPACITY.md.
capacity:
	$(GO) test -run '^$$' -bench Capacity -benchtime 0.5s ./internal/... | grep '^Bench' > docs/capacity-measured.txt

# balance measures how targets are chosen and writes the tables of docs/balance-tables.md.
balance:
	$(GO) run ./cmd/barleystep-lab > docs/balance-tables.md.new
	mv docs/balance-tables.md.new docs/balance-tables.md
