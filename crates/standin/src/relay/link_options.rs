use std::net::SocketAddr;
use std::str::FromStr;

use thiserror::Error;

/// Link of the relay. Written `listen->target` or `name=listen->target`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkOptions {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) target: SocketAddr,
}

impl LinkOptions {
    /// Creates a link that listens on a free loopback port.
    pub fn new(name: impl Into<String>, target: SocketAddr) -> Self {
        Self {
            name: name.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            target,
        }
    }

    /// Sets the address to listen on.
    #[must_use]
    pub const fn listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }
}

impl FromStr for LinkOptions {
    type Err = InvalidLink;

    fn from_str(text: &str) -> Result<Self, InvalidLink> {
        let invalid = || InvalidLink { text: text.to_owned() };
        let (name, addresses) = text.split_once('=').unwrap_or((text, text));
        let (listen, target) = addresses.split_once("->").ok_or_else(invalid)?;
        Ok(Self {
            name: name.to_owned(),
            listen: listen.trim().parse().map_err(|_| invalid())?,
            target: target.trim().parse().map_err(|_| invalid())?,
        })
    }
}

/// Error for a text that does not describe a link.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("link {text:?} is not valid: write NAME=IP:PORT->IP:PORT")]
pub struct InvalidLink {
    text: String,
}
