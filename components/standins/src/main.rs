//! Runs one stand-in process.
fn main() {}
