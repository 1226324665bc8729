//! The entry over scripted sidecars, with a fault at every step of a dispatch.

mod faults;
mod fixture;
mod hostile;
mod http;
mod keys;
mod orders;
