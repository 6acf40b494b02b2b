# The two commands a newcomer needs are `make demo` and `make test`.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all build test demo bench deps format lint models generate

all: build

deps:
	@tools/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja --log-level=WARNING > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

demo: build
	@$(BUILD)/standin/walnutwing-demo --bin=$(BUILD)

bench: build
	@$(BUILD)/bench/walnutwing-bench

format:
	@tools/check-format

lint: build
	@tools/check-lint $(BUILD)

models: deps
	@spec/run-models

generate:
	@tools/generate-protobuf
