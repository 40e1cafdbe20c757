use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Options of the platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    pub(crate) address: SocketAddr,
    pub(crate) writes_per_s: u32,
    pub(crate) reads_per_s: u32,
    pub(crate) list_lag_ms: u64,
    pub(crate) list_ttl_ms: u64,
    pub(crate) list: Option<PathBuf>,
}

impl PlatformOptions {
    /// Creates the default options: a free loopback port, 400 writes/s and 2,000 reads/s, a list that lags by 500 ms.
    pub fn new() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_s: 400,
            reads_per_s: 2_000,
            list_lag_ms: 500,
            list_ttl_ms: 0,
            list: None,
        }
    }

    /// Reads the options from the arguments of [`PlatformOptions::command`].
    ///
    /// # Panics
    ///
    /// Panics if `matches` comes from another command.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let number = |name| *matches.get_one::<u64>(name).expect("the option has a default");
        let rate = |name| *matches.get_one::<u32>(name).expect("the option has a default");
        Self {
            address: *matches.get_one("address").expect("the option has a default"),
            writes_per_s: rate("writes-per-s"),
            reads_per_s: rate("reads-per-s"),
            list_lag_ms: number("list-lag-ms"),
            list_ttl_ms: number("list-ttl-ms"),
            list: matches.get_one("list").cloned(),
        }
    }

    /// Returns the command line of the program.
    pub fn command() -> Command {
        let number = |name: &'static str, default: &'static str, help: &'static str| {
            Arg::new(name)
                .long(name)
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value(default)
                .help(help)
        };
        Command::new("standin-platform")
            .about("Stand-in for the platform: table, object store and list of instances")
            .version(clap::crate_version!())
            .arg(
                Arg::new("address")
                    .long("address")
                    .value_name("IP:PORT")
                    .value_parser(value_parser!(SocketAddr))
                    .default_value("127.0.0.1:7400")
                    .help("Address to listen on"),
            )
            .arg(number("writes-per-s", "400", "Limit of writes in one second").value_parser(value_parser!(u32)))
            .arg(number("reads-per-s", "2000", "Limit of reads in one second").value_parser(value_parser!(u32)))
            .arg(number("list-lag-ms", "500", "Lag of the list of instances"))
            .arg(number(
                "list-ttl-ms",
                "0",
                "Time after which an instance that no longer registers leaves the list; 0 keeps it",
            ))
            .arg(
                Arg::new("list")
                    .long("list")
                    .value_name("FILE")
                    .value_parser(value_parser!(PathBuf))
                    .help("JSON file with the first list of workers and entry instances"),
            )
    }

    /// Sets the address to listen on; port 0 chooses a free one.
    #[must_use]
    pub const fn address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Sets the limit of writes per second.
    #[must_use]
    pub const fn writes_per_s(mut self, writes_per_s: u32) -> Self {
        self.writes_per_s = writes_per_s;
        self
    }

    /// Sets the limit of reads per second.
    #[must_use]
    pub const fn reads_per_s(mut self, reads_per_s: u32) -> Self {
        self.reads_per_s = reads_per_s;
        self
    }

    /// Sets the lag of the list in milliseconds.
    #[must_use]
    pub const fn list_lag_ms(mut self, list_lag_ms: u64) -> Self {
        self.list_lag_ms = list_lag_ms;
        self
    }

    /// Sets the time in milliseconds after which an instance that no longer registers is removed; 0 keeps it.
    #[must_use]
    pub const fn list_ttl_ms(mut self, list_ttl_ms: u64) -> Self {
        self.list_ttl_ms = list_ttl_ms;
        self
    }
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self::new()
    }
}
