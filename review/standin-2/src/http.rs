//! HTTP/1.1 on loopback: a server with one thread for each connection, and a client for single calls.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Request that was read as a whole.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let mut found = self.query.iter().filter(|(key, _)| key == name);
        found.next().map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map_or("", |(_, value)| value)
    }
}

/// What a handler does with a request.
pub enum Reply {
    Answer(u16, String),
    /// No answer; the connection stays open until the caller closes it.
    Silence,
}

/// How a server meets its callers. The process behind it may restart and its link may be cut.
#[derive(Debug, Default)]
pub struct Link {
    /// Connections of earlier generations are closed: their process has ended.
    pub generation: AtomicU64,
    /// Nothing arrives and nothing leaves; new connections are not answered.
    pub is_cut: AtomicBool,
}

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, link: Arc<Link>, handler: Arc<dyn Fn(&Request) -> Reply + Send + Sync>) {
    thread::spawn(move || {
        listener.set_nonblocking(true).expect("a listener can be polled");
        let address = listener.local_addr().expect("a listener has an address");
        let mut fillers: Option<Vec<TcpStream>> = None;
        loop {
            let is_cut = link.is_cut.load(Ordering::SeqCst);
            if is_cut && fillers.is_none() {
                fillers = Some(fill_queue(&listener, address));
            } else if !is_cut && fillers.take().is_some() {
                unsafe { listen(listener.as_raw_fd(), 1024) };
            }
            match listener.accept() {
                Ok((stream, _)) if !is_cut => {
                    let (link, handler) = (Arc::clone(&link), Arc::clone(&handler));
                    thread::spawn(move || {
                        let _ = serve_connection(stream, &link, &*handler);
                    });
                }
                Ok(_) => {}
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
            while link.is_cut.load(Ordering::SeqCst) && fillers.is_some() {
                thread::sleep(Duration::from_millis(2));
            }
        }
    });
}

/// Fills the queue of new connections, so that the opening packets of others get no answer, as behind a partition.
fn fill_queue(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    const MOST: usize = 16;
    unsafe { listen(listener.as_raw_fd(), 0) };
    let mut fillers = Vec::new();
    while fillers.len() < MOST
        && let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(20))
    {
        fillers.push(filler);
    }
    fillers
}

fn serve_connection(
    stream: TcpStream,
    link: &Link,
    handler: &(dyn Fn(&Request) -> Reply + Send + Sync),
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let generation = link.generation.load(Ordering::SeqCst);
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let is_ended = || link.generation.load(Ordering::SeqCst) != generation;
        if is_ended() {
            return Ok(());
        }
        let is_cut = link.is_cut.load(Ordering::SeqCst);
        let reply = if is_cut { Reply::Silence } else { handler(&request) };
        // What was in flight when the link was cut or the process ended is lost.
        let is_lost = is_ended() || link.is_cut.load(Ordering::SeqCst);
        match reply {
            Reply::Answer(status, body) if !is_lost => {
                let text = format!(
                    "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(text.as_bytes())?;
            }
            _ => return wait_for_close(&mut reader, &is_ended),
        }
    }
    Ok(())
}

fn wait_for_close(reader: &mut BufReader<TcpStream>, is_ended: &dyn Fn() -> bool) -> io::Result<()> {
    reader.get_ref().set_read_timeout(Some(Duration::from_millis(50)))?;
    let mut rest = [0; 1_024];
    while !is_ended() {
        match reader.read(&mut rest) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut request = Request {
        path: path.to_owned(),
        query: query.map(|(key, value)| (key.to_owned(), decode(value))).collect(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    request.headers = read_headers(reader)?;
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(headers);
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Decodes the percent signs of a query.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
            let hex = std::str::from_utf8(&digits).unwrap_or("00");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
        } else {
            out.push(if byte == b'+' { b' ' } else { byte });
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<(u16, String)> {
    const TIMEOUT: Duration = Duration::from_secs(4);
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if headers.iter().all(|(key, _)| *key != "Host") {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("Connection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let headers = read_headers(&mut reader)?;
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let mut body = Vec::new();
    match length.and_then(|(_, value)| value.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None => {
            reader.read_to_end(&mut body)?;
        }
    }
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
