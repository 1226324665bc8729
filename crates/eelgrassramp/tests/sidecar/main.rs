//! Tests of the sidecar through its public interface.

mod fixture;
mod hostile;
mod http;
mod knowledge;
mod orders;
mod runs;
mod urgency;
