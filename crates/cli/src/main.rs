//! Command line of galenaspool.

fn main() {}
