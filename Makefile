GO ?= go
SEED ?= 1
BINARIES = ./cmd/... ./standin/cmd/...

.PHONY: all build test fuzz lint format quickstart soak measure generate clean

all: lint test

build:
	$(GO) build -o bin/ $(BINARIES)

test:
	scripts/test.sh

# FUZZ lists the folders whose fuzz tests are run.
FUZZ ?= .
fuzz:
	scripts/fuzz.sh $(FUZZ)

format:
	gofmt -w $$(git ls-files '*.go')

bin/staticcheck: tools/go.mod
	cd tools && $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

lint: bin/staticcheck
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "files are not formatted; run make format: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	bin/staticcheck ./...

quickstart: build
	scripts/quickstart.sh

# SEED=0 derives the seed from the clock. The logs of a failed run are kept.
SECONDS ?= 20
RUNS ?= 1
soak: build
	bin/soak -seed $(SEED) -seconds $(SECONDS) -runs $(RUNS)

measure:
	$(GO) run ./measure/cmd/measure --seed $(SEED)

generate:
	cd tools && $(GO) build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go \
		github.com/twitchtv/twirp/protoc-gen-twirp
	for file in rpc/radishshelf.proto rpc/relaypb/relay.proto; do \
		protoc --plugin=bin/protoc-gen-go --plugin=bin/protoc-gen-twirp --go_out=. --go_opt=paths=source_relative \
			--twirp_out=. --twirp_opt=paths=source_relative $$file; done

clean:
	rm -rf bin run
