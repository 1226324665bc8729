//! Regression tests, one module per fault.

mod gossip_fetch_loop;
