//! Tests of the sidecar through its public interface.

mod endings;
mod engine;
mod fixture;
mod hostile;
mod http;
mod keys;
mod knowledge;
mod orders;
mod runs;
mod urgency;
