//! Entry daemon of galenaspool.

fn main() {}
