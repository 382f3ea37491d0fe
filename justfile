# Tasks of the project; `just --list` shows them. Each is one command that can be typed as well.

# Everything that CI checks.
ci:
    bash .ci/run

# Formats all code.
fmt:
    cargo fmt --all

# All lints, warnings denied.
lint:
    cargo clippy --workspace --all-targets -- -D warnings

# All tests.
test:
    cargo test --release --workspace

# Stand-ins and three hosts in one process.
quickstart:
    cargo run --release -- quickstart

# The promises, over CASES histories from SEED.
promises seed="1" cases="200":
    PROMISES_SEED={{seed}} PROMISES_CASES={{cases}} cargo test --release -p sequoiacrank-kernel --test promises

# Generated code of the peer protocol.
generate:
    cargo run -p sequoiacrank-peer --example generate
