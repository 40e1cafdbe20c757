use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::FleetError;
use crate::binary::binary_path;

/// Process of a deployment; killed when dropped.
#[derive(Debug)]
pub struct FleetProcess {
    name: String,
    child: Child,
    log_path: PathBuf,
}

impl FleetProcess {
    /// Starts a program and appends its output to `NAME.log` in `folder`.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if the program was not built or cannot be started.
    pub fn start(program: &str, name: &str, args: &[String], folder: &Path) -> Result<Self, FleetError> {
        let log_path = folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&log_path);
        let log = log.map_err(|source| FleetError::io(log_path.display().to_string(), source))?;
        let stderr = log.try_clone().map_err(|source| FleetError::io(name, source))?;
        let child = Command::new(binary_path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(stderr)
            .spawn()
            .map_err(|source| FleetError::io(program, source))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log_path,
        })
    }

    /// Returns the name of the process in its deployment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output of the process so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns the last lines of the output.
    pub fn log_tail(&self) -> String {
        const LINES: usize = 20;
        let log = self.log();
        let lines: Vec<_> = log.lines().rev().take(LINES).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    /// Returns the largest resident size that the process has had.
    pub fn peak_kib(&self) -> u64 {
        self.status_kib("VmHWM:")
    }

    /// Returns the resident size of the process.
    pub fn resident_kib(&self) -> u64 {
        self.status_kib("VmRSS:")
    }

    /// Returns the part of the resident size that is in huge pages, if the kernel tells.
    pub fn huge_pages_kib(&self) -> Option<u64> {
        self.proc_kib("smaps_rollup", "AnonHugePages:")
    }

    /// Returns the number of open descriptors of the process.
    pub fn open_fds(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }

    fn status_kib(&self, field: &str) -> u64 {
        self.proc_kib("status", field).unwrap_or(0)
    }

    fn proc_kib(&self, file: &str, field: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/{file}", self.id())).ok()?;
        let value = text.lines().find_map(|line| line.strip_prefix(field))?;
        value.split_whitespace().next()?.parse().ok()
    }

    /// Kills the process with `SIGKILL` and waits for it to exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process with `SIGSTOP`.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful stop with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Requests a reload of the settings with `SIGHUP`.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the process to exit without blocking the other tasks.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError::NotReady`] if the process is still running after `timeout`.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Result<ExitStatus, FleetError> {
        let start = Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Ok(status),
                Ok(None) if start.elapsed() < timeout => actix_rt::time::sleep(Duration::from_millis(20)).await,
                Ok(None) => {
                    let condition = format!("exit of {}", self.name);
                    return Err(FleetError::NotReady {
                        condition,
                        waited_ms: start.elapsed().as_millis(),
                    });
                }
                Err(source) => return Err(FleetError::io(self.name.clone(), source)),
            }
        }
    }

    fn signal(&self, signal: Signal) {
        // The child is reaped only in `kill`, `has_exited` and `wait_for_exit`; until then its id cannot belong to
        // another process.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
