use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use actix_rt::time::sleep;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::{LinkMode, LinkOptions, LinkStatus};

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
    pub fn new(options: LinkOptions, listen: SocketAddr) -> Self {
        Self {
            options,
            listen,
            mode: watch::Sender::new(LinkMode::Open),
            connections: AtomicUsize::new(0),
            accepted: AtomicU64::new(0),
        }
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
    pub async fn serve(self: Arc<Self>, listener: std::net::TcpListener) {
        let mut listener = TcpListener::from_std(listener).ok();
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
                listener = TcpListener::bind(self.listen).await.ok();
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
