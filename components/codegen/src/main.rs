//! Generates the code of the peer protocol.
//!
//! Run `cargo run -p cyclamengrade-codegen` at the root of the repository after a change of
//! `proto/peer.proto`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("components/peer/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
