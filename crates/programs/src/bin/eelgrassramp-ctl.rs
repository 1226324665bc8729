//! Checks and edits the tables and shows moves.

fn main() {}
