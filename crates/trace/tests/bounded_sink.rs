//! Log that is written to a target which does not take it.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use spdlog::Logger;
use trace::BoundedSink;

/// Target that blocks until it is opened.
struct Gate {
    open: Receiver<()>,
    is_open: bool,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.is_open {
            self.open.recv().expect("the test opens the gate");
            self.is_open = true;
        }
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn gate() -> (Gate, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (sender, open) = channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let gate = Gate {
        open,
        is_open: false,
        text: Arc::clone(&text),
    };
    (gate, sender, text)
}

/// Guards against calls that wait for the log, and against lines that are lost without a trace.
#[test]
fn flooded_log_neither_blocks_nor_hides_what_it_drops() {
    const LINES: usize = 10_000;
    const CAPACITY: usize = 100;
    let (target, open, text) = gate();
    let sink = Arc::new(BoundedSink::with_capacity(target, CAPACITY).unwrap());
    let logger = Logger::builder().sink(sink.clone()).build().unwrap();
    let begin = Instant::now();
    for number in 0..LINES {
        spdlog::info!(logger: logger, "line {number}");
    }
    assert!(begin.elapsed() < Duration::from_secs(2), "{:?}", begin.elapsed());
    open.send(()).unwrap();
    let written = |text: &Mutex<Vec<u8>>| String::from_utf8(text.lock().unwrap().clone()).unwrap();
    let until = Instant::now() + Duration::from_secs(10);
    while !written(&text).contains("log_lines_dropped") {
        assert!(Instant::now() < until, "no count of dropped lines");
        std::thread::sleep(Duration::from_millis(10));
    }
    let text = written(&text);
    let kept = text.lines().filter(|line| line.contains("line ")).count();
    let (_, rest) = text.split_once("count=").unwrap();
    let dropped: usize = rest.split_whitespace().next().unwrap().parse().unwrap();
    assert_eq!(kept + dropped, LINES);
}
