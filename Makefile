# On a fresh machine, `make demo` builds and runs the demo, and `make test` runs all
# checks. Both download their dependencies through the package managers.

MODULES := pkg platform cmd/laburnumbench cmd/laburnumpick cmd/laburnumpickd
TOOLS := $(CURDIR)/bin/tools
GOFUMPT := $(TOOLS)/gofumpt
GOLANGCI := $(TOOLS)/golangci-lint
GOFUMPT_VERSION := v0.9.2
GOLANGCI_VERSION := v2.12.2
# The linter's cache holds absolute paths, so checkouts must not share one.
LINT_CACHE := $(CURDIR)/bin/lint-cache

.PHONY: build soak demo test format lint vet cross unit generate clean

build:
	go build -o bin/ ./cmd/laburnumpickd ./cmd/laburnumpick ./cmd/laburnumbench

demo: build
	bash _scripts/demo.sh

# A short soak with only the checks that do not depend on the machine's speed.
soak: build
	bin/laburnumbench soak --seed 1 --length 5s --vms 3 --callers 4 --no-timing

test: format lint vet cross unit soak

$(GOFUMPT):
	GOBIN=$(TOOLS) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

$(GOLANGCI):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

format: $(GOFUMPT)
	@out=$$($(GOFUMPT) -l $(MODULES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint: $(GOLANGCI)
	@for m in $(MODULES); do echo "lint $$m"; (cd $$m && GOLANGCI_LINT_CACHE=$(LINT_CACHE) $(GOLANGCI) run --allow-parallel-runners --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

vet:
	@for m in $(MODULES); do (cd $$m && go vet ./...) || exit 1; done

# Builds and vets all packages and tests for the architecture that this machine is not of.
cross:
	@arch=amd64; if [ "$$(go env GOHOSTARCH)" = amd64 ]; then arch=arm64; fi; for m in $(MODULES); do \
		(cd $$m && CGO_ENABLED=0 GOARCH=$$arch go build -o /dev/null ./... && CGO_ENABLED=0 GOARCH=$$arch go vet ./...) || exit 1; done

unit:
	bash _scripts/unit.sh $(MODULES)

generate: $(GOFUMPT)
	cd pkg/fleetapi && PATH="$$PATH:$(TOOLS)" protoc --go_out=. --go_opt=paths=source_relative \
		--twirp_out=. --twirp_opt=paths=source_relative fleet.proto
	$(GOFUMPT) -w pkg/fleetapi/fleet.twirp.go
	$(GOFUMPT) -w pkg/fleetapi/fleet.twirp.go # Its imports take two passes.

clean:
	rm -rf bin tmp
