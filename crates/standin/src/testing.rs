//! Platform, workers and relay that run within a test process on free loopback ports.

mod cluster;

pub use cluster::Cluster;
