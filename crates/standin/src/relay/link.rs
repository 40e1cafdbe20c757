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

/// One link: accepts connections and passes them on according to its mode.
#[derive(Debug)]
pub(super) struct Link {
    options: LinkOptions,
    listen: SocketAddr,
    mode: watch::Sender<LinkMode>,
    connections: AtomicUsize,
    accepted: AtomicU64,
}

impl Link {
    /// Listens for the connections of a link.
    pub fn new(options: LinkOptions) -> Result<(Self, TcpListener), StandinError> {
        let address = options.listen;
        let wrap = |source| StandinError::Listen { address, source };
        let listener = listen(address).map_err(wrap)?;
        let link = Self {
            listen: listener.local_addr().map_err(wrap)?,
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
        // Each connection must see each change, also one to the same mode: it silences connections opened since.
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

    /// Accepts connections; closes the listener while the link is cut, so that new connections are refused.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut mode = self.mode.subscribe();
        loop {
            if *mode.borrow_and_update() == LinkMode::Cut {
                drop(listener.take());
                if mode.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(open) = &listener else {
                listener = listen(self.listen).ok();
                if listener.is_none() {
                    sleep(Duration::from_millis(20)).await;
                }
                continue;
            };
            tokio::select! {
                connection = open.accept() => match connection {
                    Ok((caller, _)) => {
                        self.accepted.fetch_add(1, Ordering::Relaxed);
                        actix_rt::spawn(Arc::clone(&self).pass(caller));
                    }
                    Err(_) => sleep(Duration::from_millis(20)).await,
                },
                changed = mode.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn pass(self: Arc<Self>, caller: TcpStream) {
        self.connections.fetch_add(1, Ordering::Relaxed);
        // Errors of a connection end it and concern nobody else.
        let _ = self.pass_bytes(caller).await;
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    async fn pass_bytes(&self, caller: TcpStream) -> io::Result<()> {
        let mut mode = self.mode.subscribe();
        let is_silent = *mode.borrow_and_update() == LinkMode::SilenceAll;
        caller.set_nodelay(true)?;
        let target = TcpStream::connect(self.options.target).await?;
        target.set_nodelay(true)?;
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (mut from_target, mut to_target) = target.into_split();
        let silent = watch::Sender::new(is_silent);
        let forth = copy(&mut from_caller, &mut to_target, silent.subscribe());
        let back = copy(&mut from_target, &mut to_caller, silent.subscribe());
        let both = async { tokio::try_join!(forth, back).map(|_| ()) };
        tokio::pin!(both);
        loop {
            tokio::select! {
                result = &mut both => return result,
                changed = mode.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    match *mode.borrow_and_update() {
                        LinkMode::Cut => return Ok(()),
                        LinkMode::SilenceExisting | LinkMode::SilenceAll => {
                            silent.send_replace(true);
                        }
                        LinkMode::Open => {}
                    }
                }
            }
        }
    }
}

/// Listens with a backlog that lets many clients connect at once.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(2048)
}

/// Copies bytes until the sender closes; drops them once the connection is silent.
async fn copy(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    silent: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).await?;
        if *silent.borrow() {
            if length == 0 {
                // The other side must not see the end either; the connection ends with the error.
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
