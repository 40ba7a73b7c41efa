//! Writes the committed peer protocol code from `proto/peer.proto`.
//!
//! Run it from the root of the repository after a change to the protocol:
//! `cargo run --manifest-path tools/codegen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("crates/verbenahinge-proto/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
