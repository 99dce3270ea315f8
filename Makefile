.PHONY: test demo prove measure build

SEED ?= 1
DURATION ?= 60s

build:
	go build -o bin/ ./cmd/...

test:
	@bash scripts/test.sh

demo: build
	./bin/bpbench demo --bin bin

prove: build
	./bin/bpbench prove --bin bin --seed $(SEED) --duration $(DURATION)

measure: build
	./bin/bpbench measure --bin bin
