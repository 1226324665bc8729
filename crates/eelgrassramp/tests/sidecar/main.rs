//! Tests of the sidecar through its public interface.

mod fixture;
mod http;
mod runs;
mod urgency;
