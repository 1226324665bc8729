//! Faults that were found once, each as a case that must not come back.

mod spread_fetch_loop;
