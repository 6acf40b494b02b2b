# `make demo` runs the demo fleet; `make test` builds and runs all tests.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all build test demo bench deps format lint models generate sanitize fuzz

all: build

deps:
	@tools/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DWALNUTWING_WERROR=ON --log-level=WARNING > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@tools/run-tests $(BUILD)

demo: build
	@$(BUILD)/standin/walnutwing-demo --bin=$(BUILD)

bench: build
	@tools/run-benches $(BUILD)

format:
	@tools/check-format

lint: build
	@tools/check-lint $(BUILD)

models: deps
	@spec/run-models

generate:
	@tools/generate-protobuf

# Runs the tests under AddressSanitizer and UBSan.
sanitize: deps
	@cmake -S . -B build-sanitize -G Ninja -DWALNUTWING_SANITIZE=ON --log-level=WARNING > /dev/null
	@cmake --build build-sanitize -j $(JOBS)
	@cd build-sanitize && LSAN_OPTIONS=suppressions=$(CURDIR)/tools/lsan.supp:print_suppressions=0 \
		ctest --output-on-failure -j 4

# Fuzzes the decoders of the platform's records, by default for a minute, with
# records of up to the largest size.
FUZZ_SECONDS ?= 60
fuzz: deps
	@cmake -S . -B build-fuzz -G Ninja -DWALNUTWING_FUZZ=ON -DWALNUTWING_ROUTER_ONLY=ON \
		-DCMAKE_CXX_COMPILER=clang++ --log-level=WARNING > /dev/null
	@cmake --build build-fuzz -j $(JOBS) --target platform_fuzz
	@fuzz/make-corpus build-fuzz/corpus
	@cd build-fuzz && fuzz/platform_fuzz corpus/*
	@cd build-fuzz && fuzz/platform_fuzz -max_total_time=$(FUZZ_SECONDS) -seed=1 -max_len=262145
