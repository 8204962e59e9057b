//! Generates the Rust code of the protocol between daemons from `proto/peer.proto`.
//!
//! Run `cargo run -p cyclamengrade-codegen` at the root of the repository after every change of
//! that file. Its comments become doc comments of the generated code.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("components/peer/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
