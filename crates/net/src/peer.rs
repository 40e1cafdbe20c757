//! Generated messages, client and server of the service between entry instances.
//!
//! The messages are described in `proto/peer.proto`; `cargo run -p net --example regenerate` writes the code.
#![allow(missing_docs, clippy::allow_attributes, clippy::pedantic, reason = "generated code")]

include!("generated/galenaspool.peer.v1.rs");
