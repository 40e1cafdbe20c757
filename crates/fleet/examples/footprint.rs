//! Measures processor time, memory and store writes of entry instance processes at several numbers of workers.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p fleet --example footprint`

use std::time::Duration;

use fleet::{Fleet, FleetError, Layout};

/// Time over which processor time and writes are measured.
const WINDOW: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

fn main() -> Result<(), FleetError> {
    println!(
        "{:>8} {:<14} {:>9} {:>9} {:>10}",
        "workers", "role", "core %", "RSS MiB", "writes/s"
    );
    for workers in [48, 240, 960] {
        actix_rt::System::new().block_on(measure(workers))?;
    }
    Ok(())
}

async fn measure(workers: usize) -> Result<(), FleetError> {
    let sheet = include_str!("../../../examples/sheets/lochside.csv").replace("data_centre,dc3,", "data_centre,dc4,");
    let sheet = format!("{sheet}data_centre,dc3,,,,,,,,,in,,\n");
    let mut layout = Layout::new().workers(workers).sheet(sheet);
    layout.data_centres = 4;
    layout.slots = 24;
    layout.workers_per_rack = 16;
    let fleet = Fleet::start(layout).await?;
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let lease_holders = fleet.schedulers().await;
    let writes_before = fleet.platform_stats().await?["writes"].as_u64().unwrap_or(0);
    let before: Vec<f64> = fleet.instances.iter().map(|instance| cpu_s(pid(instance))).collect();
    actix_rt::time::sleep(WINDOW).await;
    let writes = fleet.platform_stats().await?["writes"].as_u64().unwrap_or(0) - writes_before;
    let mut roles = [("holder", Vec::new()), ("no holder", Vec::new())];
    for (instance, before_s) in fleet.instances.iter().zip(before) {
        let core_percent = 100.0 * (cpu_s(pid(instance)) - before_s) / WINDOW.as_secs_f64();
        let is_lease_holder = lease_holders.values().any(|holder| *holder == instance.name);
        roles[usize::from(!is_lease_holder)]
            .1
            .push((core_percent, rss_mib(pid(instance))));
    }
    for (role, figures) in roles.iter().filter(|(_, figures)| !figures.is_empty()) {
        let count = figures.len() as f64;
        let core: f64 = figures.iter().map(|(core, _)| core).sum::<f64>() / count;
        let memory: f64 = figures.iter().map(|(_, memory)| memory).sum::<f64>() / count;
        let writes_per_s = writes as f64 / WINDOW.as_secs_f64();
        println!("{workers:>8} {role:<14} {core:>9.2} {memory:>9.1} {writes_per_s:>10.1}");
    }
    Ok(())
}

fn pid(instance: &fleet::Instance) -> u32 {
    instance.process.as_ref().map_or(0, fleet::FleetProcess::id)
}

/// Returns the user and system time of a process in seconds, from fields 14 and 15 of its `stat` file.
fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S
}

/// Returns the resident set size of a process in MiB.
fn rss_mib(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1_024.0
}
