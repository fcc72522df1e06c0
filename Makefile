.PHONY: build run test prove bench capacity

# The race detector slows tests down; the limit covers a slow machine.
TEST_TIMEOUT = 20m

build:
	CGO_ENABLED=1 go build -o bin/knapweedreel ./cmd/knapweedreel
	CGO_ENABLED=1 go build -o bin/standin ./cmd/standin

# Shows the fleet at work on loopback addresses; stops by itself within 30 s.
run: build
	scripts/run-demo.sh

test:
	go test -race -timeout $(TEST_TIMEOUT) ./...
