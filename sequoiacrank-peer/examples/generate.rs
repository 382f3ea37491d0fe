//! Generates `src/generated/` from `proto/peer.proto`; the output is checked in, so builds need no
//! generator.

use std::error;
use std::path;

fn main() -> Result<(), Box<dyn error::Error>> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])?;
    tonic_prost_build::configure().out_dir(root.join("src/generated")).compile_fds(files)?;
    Ok(())
}
