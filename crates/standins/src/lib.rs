//! Simulated platform, engines and services, plus the load generator and the experiment runner.
//!
//! Each simulated system has a core with fault switches that implements the library's trait
//! in-process, and an HTTP server for the same protocol. All of them sleep through
//! [`eelgrassramp::Timers`], so tests can run them on a paused clock.

pub mod check;
pub mod cli;
pub mod cluster;
pub mod crowd;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod fault;
pub mod http;
pub mod load;
pub mod matrix;
pub mod overhead;
pub mod platform;
pub mod service;
