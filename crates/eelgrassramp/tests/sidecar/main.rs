//! Tests of the sidecar through its public interface.

mod engine_orders;
mod fixture;
mod gossip;
mod http;
mod http_engine;
mod idempotency_keys;
mod malformed_input;
mod outcomes;
mod preemption;
mod runs;
