//! Bounded log sink with a target that blocks.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use spdlog::Logger;
use trace::BoundedSink;

/// Log target whose first write blocks until it is unblocked.
struct BlockedTarget {
    unblock: Receiver<()>,
    is_unblocked: bool,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedTarget {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.is_unblocked {
            self.unblock.recv().expect("the test unblocks the target");
            self.is_unblocked = true;
        }
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn blocked_target() -> (BlockedTarget, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (sender, unblock) = channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let blocked_target = BlockedTarget {
        unblock,
        is_unblocked: false,
        text: Arc::clone(&text),
    };
    (blocked_target, sender, text)
}

/// Guards against log calls that block on a stalled target, and against dropped lines that are not counted.
#[test]
fn full_queue_neither_blocks_the_logger_nor_hides_dropped_lines() {
    const LINES: usize = 10_000;
    const CAPACITY: usize = 100;
    let (target, unblock, text) = blocked_target();
    let sink = Arc::new(BoundedSink::with_capacity(target, CAPACITY).unwrap());
    let logger = Logger::builder().sink(sink.clone()).build().unwrap();
    let start = Instant::now();
    for number in 0..LINES {
        spdlog::info!(logger: logger, "line {number}");
    }
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    unblock.send(()).unwrap();
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
