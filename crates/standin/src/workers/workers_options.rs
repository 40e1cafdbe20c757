use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use model::{DataCentreId, Resources, Topology};

/// Options of the workers.
#[derive(Debug, Clone)]
pub struct WorkersOptions {
    pub(crate) address: SocketAddr,
    pub(crate) advertise: Option<String>,
    pub(crate) platform: Option<String>,
    pub(crate) data_centres: usize,
    pub(crate) only: Vec<DataCentreId>,
    pub(crate) workers: usize,
    pub(crate) workers_per_rack: usize,
    pub(crate) capacity: Resources,
    pub(crate) usage_lag_ms: u64,
    pub(crate) keep_ms: u64,
    pub(crate) register_interval_ms: u64,
}

impl WorkersOptions {
    /// Creates the default options: a free loopback port, 48 workers in 3 data centres, 8 to a rack, each with 8 slots,
    /// 8 accelerators, 32 cores and 64 GiB.
    pub fn new() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            platform: None,
            data_centres: 3,
            only: Vec::new(),
            workers: 48,
            workers_per_rack: 8,
            capacity: Resources::new(8, 8, 32_000, 65_536),
            usage_lag_ms: 2_000,
            keep_ms: 600_000,
            register_interval_ms: 1_000,
        }
    }

    /// Reads the options from the arguments of [`WorkersOptions::command`].
    ///
    /// # Panics
    ///
    /// Panics if `matches` comes from another command.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let number = |name| *matches.get_one::<u64>(name).expect("the option has a default");
        Self {
            address: *matches.get_one("address").expect("the option has a default"),
            advertise: matches.get_one("advertise").cloned(),
            platform: matches.get_one("platform").cloned(),
            data_centres: number("data-centres") as usize,
            only: matches.get_many("only").unwrap_or_default().cloned().collect(),
            workers: number("workers") as usize,
            workers_per_rack: number("workers-per-rack") as usize,
            capacity: Resources::new(
                number("slots") as u16,
                number("accelerators") as u16,
                number("cpu-milli") as u32,
                number("memory-mib") as u32,
            ),
            usage_lag_ms: number("usage-lag-ms"),
            keep_ms: number("keep-ms"),
            register_interval_ms: number("register-interval-ms"),
        }
    }

    /// Returns the command line of the program.
    pub fn command() -> Command {
        let text = |name: &'static str, value: &'static str, help: &'static str| {
            Arg::new(name).long(name).value_name(value).help(help)
        };
        let number = |name: &'static str, range: std::ops::RangeInclusive<u64>, default: &'static str, help| {
            text(name, "N", help)
                .value_parser(value_parser!(u64).range(range))
                .default_value(default)
        };
        let max = u64::from(u32::MAX);
        Command::new("standin-workers")
            .about("Stand-in for many workers in one process")
            .version(clap::crate_version!())
            .arg(
                text("address", "IP:PORT", "Address to listen on")
                    .value_parser(value_parser!(SocketAddr))
                    .default_value("127.0.0.1:7500"),
            )
            .arg(text(
                "advertise",
                "URL",
                "Base URL for the platform's list, if it is not the address",
            ))
            .arg(text("platform", "URL", "Base URL of the platform to register with"))
            .arg(number(
                "data-centres",
                1..=64,
                "3",
                "Number of data centres, named dc1, dc2 and so on",
            ))
            .arg(
                text("only", "DATA_CENTRE", "Serves only this data centre; may be repeated")
                    .value_parser(|text: &str| text.parse::<DataCentreId>())
                    .action(ArgAction::Append),
            )
            .arg(number(
                "workers",
                1..=10_000,
                "48",
                "Number of workers in all data centres",
            ))
            .arg(number(
                "workers-per-rack",
                1..=10_000,
                "8",
                "Number of workers in a rack",
            ))
            .arg(number("slots", 1..=1024, "8", "Task slots of a worker"))
            .arg(number("accelerators", 0..=1024, "8", "Accelerators of a worker"))
            .arg(number(
                "cpu-milli",
                0..=max,
                "32000",
                "Processor time of a worker in thousandths of a core",
            ))
            .arg(number("memory-mib", 0..=max, "65536", "Memory of a worker in MiB"))
            .arg(number("usage-lag-ms", 0..=max, "2000", "Lag of usage reports"))
            .arg(number(
                "keep-ms",
                0..=max,
                "600000",
                "How long finished results are kept",
            ))
            .arg(number(
                "register-interval-ms",
                1..=max,
                "1000",
                "Interval of registrations",
            ))
    }

    /// Sets the address to listen on; port 0 chooses a free one.
    #[must_use]
    pub const fn address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Sets the base URL that the workers register with the platform, such as that of a relay.
    #[must_use]
    pub fn advertise(mut self, url: impl Into<String>) -> Self {
        self.advertise = Some(url.into());
        self
    }

    /// Sets the base URL of the platform to register with.
    #[must_use]
    pub fn platform(mut self, url: impl Into<String>) -> Self {
        self.platform = Some(url.into());
        self
    }

    /// Sets the number of data centres.
    #[must_use]
    pub const fn data_centres(mut self, data_centres: usize) -> Self {
        self.data_centres = data_centres;
        self
    }

    /// Adds a data centre to those that the process serves; without any it serves all.
    #[must_use]
    pub fn only(mut self, data_centre: DataCentreId) -> Self {
        self.only.push(data_centre);
        self
    }

    /// Sets the number of workers in all data centres.
    #[must_use]
    pub const fn workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }

    /// Sets the number of workers per rack.
    #[must_use]
    pub const fn workers_per_rack(mut self, workers_per_rack: usize) -> Self {
        self.workers_per_rack = workers_per_rack;
        self
    }

    /// Sets the capacity of each worker.
    #[must_use]
    pub const fn capacity(mut self, capacity: Resources) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the lag of usage reports in milliseconds.
    #[must_use]
    pub const fn usage_lag_ms(mut self, usage_lag_ms: u64) -> Self {
        self.usage_lag_ms = usage_lag_ms;
        self
    }

    /// Sets how long finished results and ids of ended leases are kept, in milliseconds.
    ///
    /// A load test with many short tasks uses a shorter time to limit memory.
    #[must_use]
    pub const fn keep_ms(mut self, keep_ms: u64) -> Self {
        self.keep_ms = keep_ms;
        self
    }

    /// Sets the interval between registrations in milliseconds.
    #[must_use]
    pub const fn register_interval_ms(mut self, register_interval_ms: u64) -> Self {
        self.register_interval_ms = register_interval_ms;
        self
    }

    /// Returns the topology of the workers that the process serves.
    pub fn topology(&self) -> Topology {
        let mut topology = Topology::uniform(self.data_centres, self.workers, self.workers_per_rack, self.capacity);
        if !self.only.is_empty() {
            topology.data_centres.retain(|dc| self.only.contains(&dc.id));
        }
        topology
    }
}

impl Default for WorkersOptions {
    fn default() -> Self {
        Self::new()
    }
}
