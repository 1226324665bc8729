//! Faults that were found once, each as a case that must not come back.

mod gossip_fetch_loop;
