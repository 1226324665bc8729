//! Stands beside one endpoint and admits its requests.

fn main() {}
