//! Generated messages, client and server of the gRPC service between entry instances.
//!
//! The messages are defined in `proto/peer.proto`; `cargo run -p net --example regenerate` generates the code.
#![allow(missing_docs, clippy::allow_attributes, clippy::pedantic, reason = "generated code")]

include!("generated/galenaspool.peer.v1.rs");
