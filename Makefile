.PHONY: all build test lint check generate

all: build

build:
	mkdir -p bin
	for m in admin agent entry local platform; do go build -o bin/$$m ./$$m || exit 1; done

test:
	go test work

lint:
	gofmt -l admin agent coord entry local platform
	for m in admin agent coord entry local platform platform/soak; do (cd $$m && go vet ./... && go tool staticcheck ./...) || exit 1; done

generate:
	cd coord/wire && go generate

check:
	bash .ci/run
