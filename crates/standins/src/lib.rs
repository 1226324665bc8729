//! Stand-ins for the platform and the endpoints, and the load and experiment tool.
//!
//! Each stand-in is a small core with fault switches that implements the library's border
//! trait in-process, and a server that speaks the published protocol of the same system. All
//! of them wait through [`eelgrassramp::Timers`], so they run under a paused clock as well.

pub mod check;
pub mod cli;
pub mod cluster;
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
