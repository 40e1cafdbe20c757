use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpSocket;

/// Loopback ports that no other program gets while this value exists, whether anything listens on them or not.
///
/// The sockets are bound and do not listen, so connections are refused. A server that sets `SO_REUSEADDR`, as servers
/// commonly do, can listen on the ports.
#[derive(Debug)]
pub struct ReservedPorts {
    sockets: Vec<TcpSocket>,
}

impl ReservedPorts {
    /// Reserves `count` free ports.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if there are not enough ports or files.
    pub fn new(count: usize) -> io::Result<Self> {
        let reserve = |_| {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            Ok(socket)
        };
        let sockets: io::Result<_> = (0..count).map(reserve).collect();
        Ok(Self { sockets: sockets? })
    }

    /// Returns the addresses of the ports.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.sockets.iter().map(TcpSocket::local_addr).collect()
    }
}
