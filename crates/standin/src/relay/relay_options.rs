use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::LinkOptions;

/// Options of the relay.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    pub(crate) control: SocketAddr,
    pub(crate) links: Vec<LinkOptions>,
}

impl RelayOptions {
    /// Creates options without links and with the control endpoint on a free loopback port.
    pub fn new() -> Self {
        Self {
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            links: Vec::new(),
        }
    }

    /// Reads the options from the arguments of [`RelayOptions::command`].
    ///
    /// # Panics
    ///
    /// Panics if `matches` comes from another command.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        Self {
            control: *matches.get_one("control").expect("the option has a default"),
            links: matches.get_many("link").unwrap_or_default().cloned().collect(),
        }
    }

    /// Returns the command line of the program.
    pub fn command() -> Command {
        Command::new("standin-relay")
            .about("TCP relay whose links can be cut, silenced and restored")
            .version(clap::crate_version!())
            .arg(
                Arg::new("control")
                    .long("control")
                    .value_name("IP:PORT")
                    .value_parser(value_parser!(SocketAddr))
                    .default_value("127.0.0.1:7300")
                    .help("Address of the control endpoint"),
            )
            .arg(
                Arg::new("link")
                    .long("link")
                    .value_name("NAME=IP:PORT->IP:PORT")
                    .value_parser(|text: &str| text.parse::<LinkOptions>())
                    .action(ArgAction::Append)
                    .required(true)
                    .help("Link from an address to listen on to a target; may be repeated"),
            )
    }

    /// Sets the address of the control endpoint; port 0 chooses a free one.
    #[must_use]
    pub const fn control(mut self, control: SocketAddr) -> Self {
        self.control = control;
        self
    }

    /// Adds a link.
    #[must_use]
    pub fn link(mut self, link: LinkOptions) -> Self {
        self.links.push(link);
        self
    }
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self::new()
    }
}
