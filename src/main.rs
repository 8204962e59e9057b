//! cyclamengrade.
fn main() {}
