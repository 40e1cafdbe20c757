use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

use spdlog::formatter::FormatterContext;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Record, StringBuf};

/// Log sink that never blocks its callers.
///
/// A background thread writes the lines from a bounded queue. While the queue is full, lines are dropped and counted;
/// a line with the count is written once the thread has drained the queue.
pub struct BoundedSink {
    prop: SinkProp,
    lines: SyncSender<StringBuf>,
    dropped: Arc<AtomicU64>,
}

impl std::fmt::Debug for BoundedSink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BoundedSink")
            .field("dropped", &self.dropped())
            .finish_non_exhaustive()
    }
}

impl BoundedSink {
    /// Queue capacity; some seconds of log lines of an instance under its highest load.
    pub const CAPACITY_LINES: usize = 4_096;

    /// Creates a sink that writes to `target` from a background thread.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn new(target: impl Write + Send + 'static) -> std::io::Result<Self> {
        Self::with_capacity(target, Self::CAPACITY_LINES)
    }

    /// Creates a sink whose thread drops `guard` when it ends, so that its end is noticed.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn with_guard(target: impl Write + Send + 'static, guard: impl Send + 'static) -> std::io::Result<Self> {
        Self::start(target, Self::CAPACITY_LINES, guard)
    }

    /// Creates a sink with a queue capacity of `lines`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn with_capacity(target: impl Write + Send + 'static, lines: usize) -> std::io::Result<Self> {
        Self::start(target, lines, ())
    }

    fn start(target: impl Write + Send + 'static, lines: usize, guard: impl Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            let _guard = guard;
            write_lines(&receiver, target, &counter);
        })?;
        Ok(Self {
            prop: SinkProp::default(),
            lines: sender,
            dropped,
        })
    }

    /// Returns the number of dropped lines that the log does not report yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Writes lines until the sink is dropped.
fn write_lines(lines: &Receiver<StringBuf>, mut target: impl Write, dropped: &AtomicU64) {
    while let Ok(line) = lines.recv() {
        // A failure to write the log cannot be logged.
        let _ = target.write_all(line.as_bytes());
        for line in lines.try_iter() {
            let _ = target.write_all(line.as_bytes());
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let _ = writeln!(target, "log_lines_dropped {{ count={dropped_lines} }}");
        }
        let _ = target.flush();
    }
}

impl GetSinkProp for BoundedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BoundedSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        let mut context = FormatterContext::new();
        self.prop.formatter().format(record, &mut line, &mut context)?;
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}
