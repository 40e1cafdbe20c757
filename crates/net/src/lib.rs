//! Messages between entry instances over gRPC, and the HTTP client of workers.
//!
//! [`peer`] holds the generated messages; the rest of the system converts them to the types of `model` at once.

pub mod peer;
