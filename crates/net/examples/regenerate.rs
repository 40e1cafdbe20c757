//! Regenerates `src/generated/` from `proto/`. Run it after changing the messages and commit the result.

use std::path::Path;

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])
        .expect("the messages in proto/ are valid");
    tonic_prost_build::configure()
        .out_dir(root.join("src/generated"))
        .compile_fds(descriptors)
        .expect("the generated code can be written");
}
