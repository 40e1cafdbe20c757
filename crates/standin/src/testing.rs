//! Platform, workers and relay within a test process, on free loopback ports.

mod cluster;

pub use cluster::Cluster;
