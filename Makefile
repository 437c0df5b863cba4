GOBIN := $(CURDIR)/bin

.PHONY: build demo test race soak generate lint format bench

build:
	GOBIN=$(GOBIN) go install ./cmd/...

demo: build
	./scripts/demo.sh

# SKIP is a pattern of tests to leave out; see KNOWN-RED.txt.
SKIP ?=

test: lint
	go test $(if $(SKIP),-skip '$(SKIP)') ./...

lint:
	@test -z "$$(go tool -modfile=tools/go.mod gofumpt -l $$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^schema/.*\.pb\.go$$\|twirp\.go$$'))" || { echo "not formatted:"; go tool -modfile=tools/go.mod gofumpt -l .; exit 1; }
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...

format:
	go tool -modfile=tools/go.mod gofumpt -w $$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^schema/.*\.pb\.go$$\|twirp\.go$$')

generate:
	cd tools/generate && GOBIN=$(GOBIN) go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	GOBIN=$(GOBIN) go install github.com/bufbuild/buf/cmd/buf@v1.71.0
	cd schema && PATH=$(GOBIN):$$PATH buf generate

# race runs all tests under the race detector, which takes several times as long.
race:
	go test -race $(if $(SKIP),-skip '$(SKIP)') ./...

# soak runs seeds of the soak, with all faults and with planned work only.
soak: build
	$(GOBIN)/quetzal-soak -daemon $(GOBIN)/quetzald -seed 1 -seeds 25 -duration 15s
	$(GOBIN)/quetzal-soak -daemon $(GOBIN)/quetzald -seed 1 -seeds 25 -duration 15s -planned

bench:
	go test -run '^$$' -bench . -benchmem ./...
