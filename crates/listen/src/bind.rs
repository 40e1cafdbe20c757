use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// Opens a non-blocking listening socket whose connections have small kernel buffers.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    const BACKLOG: i32 = 1_024;
    /// Size of the kernel's buffers of a connection, which count towards the memory of the machine. The kernel doubles
    /// it; without it, they grow to some MB.
    const SOCKET_BUFFER_BYTES: usize = 32 * 1_024;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
