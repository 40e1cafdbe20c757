//! HTTP/1.1 server and client of the stand-ins.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn query_number(&self, key: &str) -> u64 {
        self.query.get(key).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn query_text(&self, key: &str) -> &str {
        self.query.get(key).map_or("", String::as_str)
    }
}

pub enum Response {
    Reply(u16, String),
    /// The reply is lost: the connection delivers nothing further.
    Silence,
}

/// Listening server; connections are handled by one thread each.
pub struct Server {
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves on a loopback address; port 0 takes a free one.
    pub fn start(
        address: &str,
        handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let is_down = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (down, open) = (Arc::clone(&is_down), Arc::clone(&streams));
        thread::spawn(move || {
            while !down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let (handler, down) = (Arc::clone(&handler), Arc::clone(&down));
                        thread::spawn(move || {
                            let _ = handle(stream, &*handler, &down);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Self {
            address,
            is_down,
            streams,
        })
    }

    /// Ends the server as a crash of its process does: connections break, and the port refuses new ones.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn handle(stream: TcpStream, handler: &dyn Fn(&Request) -> Response, is_down: &AtomicBool) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let request = read_request(&mut reader)?;
        let response = handler(&request);
        if is_down.load(Ordering::SeqCst) {
            return None;
        }
        match response {
            Response::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes()).ok()?;
            }
            Response::Silence => {
                // Waits until the peer closes the connection.
                let mut rest = [0; 1024];
                while reader.read(&mut rest).ok()? > 0 {}
                return None;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut parts = line.split_whitespace();
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
    }
    let length: usize = headers
        .get("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), decode_percent(value)))
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let escaped = (byte == b'%').then(|| tail.get(..2)).flatten();
        let escaped = escaped.and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        match escaped {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            None => {
                bytes.push(if byte == b'+' { b' ' } else { byte });
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a connection of its own; `None` if no complete reply arrives in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let socket_address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&socket_address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    }
    stream.write_all((head + "\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
