//! Accepts requests from callers and sends them to endpoints.

fn main() {}
