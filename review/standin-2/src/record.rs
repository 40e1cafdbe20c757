//! What was sent, answered and run, with times since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{now_ms:>7} {text}");
        now_ms
    }

    /// Writes a line that is shown as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
