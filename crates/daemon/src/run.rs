use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use crate::daemon_error::DaemonError;
use crate::huge_pages::disable_huge_pages;
use crate::machine_limits::MachineLimits;
use crate::node_settings::node_settings;
use crate::signals::{reload_on_hangup, stop_signal};
use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use compact_str::CompactString;
use conf::{DomainSettings, Settings};
use entry::{Entry, Listeners, intake_limits};
use platform::front::BodyLimit;
use platform::{Addresses, Instance};
use spdlog::Logger;
use supervise::{EndedParts, Supervisor};
use trace::BoundedSink;

fn command() -> Command {
    Command::new("galenaspoold")
        .about("Entry daemon of galenaspool")
        .version(crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("GALENASPOOL_SETTINGS")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings in JSON with comments"),
        )
        .arg(
            Arg::new("memory-mb")
                .long("memory-mb")
                .value_name("MIB")
                .value_parser(value_parser!(u64).range(32..))
                .help("Memory of the machine; replaces intake.memory_mb of the settings"),
        )
        .arg(
            Arg::new("max-fds")
                .long("max-fds")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64).range(64..))
                .help("File descriptors of the machine; replaces intake.max_fds of the settings"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

pub(crate) fn read_settings(path: &Path, machine: MachineLimits) -> Result<Settings, DaemonError> {
    let text = std::fs::read_to_string(path).map_err(|source| DaemonError::Read {
        path: path.to_owned(),
        source,
    })?;
    let mut settings = Settings::parse(&text)?;
    machine.apply(&mut settings);
    settings.validate()?;
    Ok(settings)
}

/// Runs the daemon with these arguments until a signal, or until a part that `supervisor` starts has ended.
pub fn run(args: impl IntoIterator<Item = OsString>, supervisor: (Supervisor, EndedParts)) -> ExitCode {
    match serve(args, supervisor) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenaspoold: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(
    args: impl IntoIterator<Item = OsString>,
    (supervisor, ended_parts): (Supervisor, EndedParts),
) -> Result<(), DaemonError> {
    let matches = command().get_matches_from(args);
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("the argument is required");
    let machine = MachineLimits::from_matches(&matches);
    let settings = read_settings(path, machine)?;
    if matches.get_flag("check-settings") {
        println!("{}: settings are valid", path.display());
        return Ok(());
    }
    log_to_stdout(&supervisor)?;
    disable_huge_pages();
    if let Some(domain) = settings.domain.clone() {
        return run_domain(path, machine, &settings, &domain, &supervisor, ended_parts);
    }
    let listeners = Listeners::bind(&settings)?;
    actix_rt::System::new().block_on(async {
        let stop = stop_signal()?;
        let entry = Entry::start(settings, listeners, &supervisor)?;
        until_stop(stop, ended_parts).await?;
        entry.stop().await;
        Ok(())
    })
}

/// Waits for the signal to stop.
async fn until_stop(stop: impl Future<Output = ()>, mut ended_parts: EndedParts) -> Result<(), DaemonError> {
    tokio::select! {
        () = stop => Ok(()),
        part = ended_parts.next() => {
            spdlog::error!("part_ended", kv: { part });
            Err(DaemonError::PartEnded { part })
        }
    }
}

/// Writes the log to standard output through a sink that never blocks the caller.
fn log_to_stdout(supervisor: &Supervisor) -> Result<(), DaemonError> {
    let sink = BoundedSink::with_guard(std::io::stdout(), supervisor.guard("log")).map_err(DaemonError::Log)?;
    match Logger::builder().sink(Arc::new(sink)).build() {
        Ok(logger) => spdlog::set_default_logger(Arc::new(logger)),
        Err(error) => return Err(DaemonError::Log(std::io::Error::other(error))),
    }
    Ok(())
}

/// Returns an optional address of the settings; an empty text means that none is set.
fn optional_address(text: &str) -> Option<CompactString> {
    if text.is_empty() { None } else { Some(text.into()) }
}

/// Runs an instance of a scheduling domain on the platform.
fn run_domain(
    path: &Path,
    machine: MachineLimits,
    settings: &Settings,
    domain: &DomainSettings,
    supervisor: &Supervisor,
    ended_parts: EndedParts,
) -> Result<(), DaemonError> {
    actix_rt::System::new().block_on(async {
        let stop = stop_signal()?;
        let reload = reload_on_hangup(path.to_owned(), machine, settings.clone())?;
        actix_rt::spawn(supervisor.run("reload", reload));
        let addresses = Addresses {
            front: settings.http_address,
            ready: domain.ready_address,
            store_url: settings.platform_url.clone(),
            machines: optional_address(&domain.machines_address),
            placement_hints: optional_address(&domain.advice_address),
        };
        let body_limit = BodyLimit(settings.max_body_bytes);
        let instance = Instance::start(
            node_settings(settings, domain),
            intake_limits(settings),
            body_limit,
            &addresses,
            supervisor,
        )?;
        until_stop(stop, ended_parts).await?;
        instance.stop().await;
        Ok(())
    })
}
