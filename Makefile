# The targets are listed in README.md.
TOOLS := bin/tools
MODULES := fleet entry ctl bench platform
GO := go
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo unknown)
LDFLAGS := -X github.com/tarragonbank/tarragonbank/entry/tarragond.Version=$(VERSION)

.PHONY: build race generate format lint test demo tools all-tools

build:
	$(GO) build -ldflags "$(LDFLAGS)" -o bin/ ./entry/cmd/tarragond ./ctl/cmd/tarragonctl ./bench/cmd/tarragonbench ./platform/cmd/tarragonjobs

race:
	$(GO) build -race -o bin/race/ ./entry/cmd/tarragond ./platform/cmd/tarragonjobs

all-tools:
	cd tools && GOWORK=off GOFLAGS=-mod=readonly $(GO) build -o ../$(TOOLS)/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go github.com/dmarkham/enumer mvdan.cc/gofumpt github.com/mgechev/revive

tools:
	cd tools && GOWORK=off GOFLAGS=-mod=readonly $(GO) build -o ../$(TOOLS)/ github.com/dmarkham/enumer mvdan.cc/gofumpt github.com/mgechev/revive

generate: all-tools
	$(TOOLS)/buf generate
	for m in $(MODULES); do (cd $$m && PATH="$(CURDIR)/$(TOOLS):$$PATH" $(GO) generate ./...) || exit 1; done
	cd fleet/schema && sha256sum *.proto *.pb.go > generated.sum
	$(MAKE) format

format:
	$(TOOLS)/gofumpt -w -extra $(MODULES)

demo: build
	bin/tarragonbench run demo --seed 1
	bin/tarragonbench run jobs --seed 1
	bin/tarragonbench run workspaces --seed 1

test:
	.ci/test
