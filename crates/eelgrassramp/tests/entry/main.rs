//! Tests of the entry against scripted sidecars, with a fault at every step of a dispatch.

mod admission;
mod faults;
mod fixture;
mod hostile;
mod http;
mod keys;
