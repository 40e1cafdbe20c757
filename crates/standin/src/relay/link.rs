use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use actix_rt::time::sleep;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::{LinkMode, LinkOptions, LinkStatus, StandinError};

/// Link that accepts connections and forwards them to its target according to its mode.
#[derive(Debug)]
pub(super) struct Link {
    options: LinkOptions,
    listen: SocketAddr,
    mode: watch::Sender<LinkMode>,
    connections: AtomicUsize,
    accepted: AtomicU64,
}

impl Link {
    /// Creates an open link and its listener.
    pub fn new(options: LinkOptions) -> Result<(Self, TcpListener), StandinError> {
        let address = options.listen;
        let listen_error = |source| StandinError::Listen { address, source };
        let listener = bind(address)
            .and_then(|socket| socket.listen(BACKLOG))
            .map_err(listen_error)?;
        let link = Self {
            listen: listener.local_addr().map_err(listen_error)?,
            options,
            mode: watch::Sender::new(LinkMode::Open),
            connections: AtomicUsize::new(0),
            accepted: AtomicU64::new(0),
        };
        Ok((link, listener))
    }

    pub fn name(&self) -> &str {
        &self.options.name
    }

    pub fn set_mode(&self, mode: LinkMode) {
        // Notifies connections also if the mode stays the same: `SilenceExisting` then silences those opened since.
        self.mode.send_replace(mode);
    }

    pub fn status(&self) -> LinkStatus {
        LinkStatus {
            name: self.options.name.clone(),
            listen: self.listen,
            target: self.options.target,
            mode: *self.mode.borrow(),
            connections: self.connections.load(Ordering::Relaxed),
            accepted: self.accepted.load(Ordering::Relaxed),
        }
    }

    /// Accepts connections; closes the listener while the link is cut, so that new connections are refused. The port stays
    /// bound: another server would get it otherwise and answer in its place.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut bound = None;
        let mut mode = self.mode.subscribe();
        loop {
            if *mode.borrow_and_update() == LinkMode::Cut {
                if listener.take().is_some() {
                    bound = bind(self.listen).ok();
                }
                if mode.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(open) = &listener else {
                let socket = bound.take().map_or_else(|| bind(self.listen), Ok);
                listener = socket.and_then(|socket| socket.listen(BACKLOG)).ok();
                if listener.is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
                continue;
            };
            tokio::select! {
                connection = open.accept() => match connection {
                    Ok((caller, _)) => {
                        self.accepted.fetch_add(1, Ordering::Relaxed);
                        actix_rt::spawn(Arc::clone(&self).relay(caller));
                    }
                    Err(_) => sleep(Duration::from_millis(20)).await,
                },
                changed = mode.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn relay(self: Arc<Self>, caller: TcpStream) {
        self.connections.fetch_add(1, Ordering::Relaxed);
        // An error ends only this connection.
        let _ = self.relay_bytes(caller).await;
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    async fn relay_bytes(&self, caller: TcpStream) -> io::Result<()> {
        let mut mode = self.mode.subscribe();
        let is_silenced = *mode.borrow_and_update() == LinkMode::SilenceAll;
        caller.set_nodelay(true)?;
        let target = TcpStream::connect(self.options.target).await?;
        target.set_nodelay(true)?;
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (mut from_target, mut to_target) = target.into_split();
        let silenced = watch::Sender::new(is_silenced);
        let to_target_copy = copy(&mut from_caller, &mut to_target, silenced.subscribe());
        let to_caller_copy = copy(&mut from_target, &mut to_caller, silenced.subscribe());
        let both_directions = async { tokio::try_join!(to_target_copy, to_caller_copy).map(|_| ()) };
        tokio::pin!(both_directions);
        loop {
            tokio::select! {
                result = &mut both_directions => return result,
                changed = mode.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    match *mode.borrow_and_update() {
                        LinkMode::Cut => return Ok(()),
                        LinkMode::SilenceExisting | LinkMode::SilenceAll => {
                            silenced.send_replace(true);
                        }
                        LinkMode::Open => {}
                    }
                }
            }
        }
    }
}

/// Length of the queue of a listener, so that many clients can connect at once.
const BACKLOG: u32 = 2_048;

/// Binds a port; connections are refused until the socket listens.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Copies bytes until the sender closes; discards them once the connection is silenced.
async fn copy(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    silenced: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).await?;
        if *silenced.borrow() {
            if length == 0 {
                // The other side must not see a regular end of the stream, so the connection ends with an error.
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            continue;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
