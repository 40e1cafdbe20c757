//! Entry daemon of galenaspool.

use std::process::ExitCode;

use supervise::Supervisor;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    daemon::run(std::env::args_os(), Supervisor::new())
}
