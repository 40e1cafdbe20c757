//! Stand-in for a worker: one life of a machine after another.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Link, Reply, Request, serve};
use crate::json::{Json, quote};
use crate::record::Record;

/// Where a worker is and how much it holds.
#[derive(Debug, Clone)]
pub struct Place {
    pub id: String,
    pub zone: String,
    pub rack: String,
    pub machine: String,
}

/// Run that a worker has begun.
#[derive(Debug, Clone)]
pub struct Begun {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// Kind of the life that began it.
    pub kind: &'static str,
    /// How it ended and when; `None` while it runs.
    pub end: Option<(u64, &'static str)>,
}

#[derive(Debug)]
struct Run {
    task: String,
    number: u64,
    started: Instant,
    work: Duration,
    is_lasting: bool,
    stop_at: Option<Instant>,
    begun: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Life {
    kind: &'static str,
    born_unix_ms: u64,
    clock_start: Instant,
    fence: u64,
    lease_until: Option<Instant>,
    runs: Vec<Run>,
    ends: Vec<End>,
    next_end: u64,
    settled: HashMap<String, u64>,
    /// When a process that crashed under a task is back.
    back_at: Option<Instant>,
}

impl Life {
    fn new(kind: &'static str) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            kind,
            born_unix_ms: born.as_millis() as u64,
            clock_start: Instant::now(),
            fence: 0,
            lease_until: None,
            runs: Vec::new(),
            ends: Vec::new(),
            next_end: 1,
            settled: HashMap::new(),
            back_at: None,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock_start.elapsed().as_millis() as u64
    }
}

pub struct Worker {
    pub place: Place,
    pub address: SocketAddr,
    pub link: Arc<Link>,
    /// Calls get no answer and have no effect; the health check and the entry in the list stay good.
    pub hangs: AtomicBool,
    /// No process runs.
    pub is_down: AtomicBool,
    life: Mutex<Life>,
    log: Arc<Mutex<Vec<Begun>>>,
    record: Arc<Record>,
}

impl Worker {
    /// Payload of a task that crashes each worker that starts it, before the start is answered.
    pub const CRASHING_SPEC: &'static str = "crashes";
    const DOWNTIME: Duration = Duration::from_millis(8_500);
    pub const KIND: &'static str = "a";
    pub const CPU: u64 = 32_000;
    pub const MEMORY_MB: u64 = 65_536;
    pub const GPU: u64 = 8;
    const HOLD_MAX: Duration = Duration::from_millis(6_000);
    const STOP_TIME: Duration = Duration::from_millis(80);
    const POLL: Duration = Duration::from_millis(10);

    pub fn start(place: Place, log: Arc<Mutex<Vec<Begun>>>, record: Arc<Record>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Self {
            place,
            address: listener.local_addr()?,
            link: Arc::default(),
            hangs: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            life: Mutex::new(Life::new(Self::KIND)),
            log,
            record,
        });
        let server = Arc::clone(&worker);
        serve(
            listener,
            Arc::clone(&worker.link),
            Arc::new(move |request: &Request| server.handle(request)),
        );
        let watched = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Self::POLL);
                watched.advance(&mut watched.life());
                let is_back = watched.life().back_at.take_if(|at| Instant::now() >= *at).is_some();
                if is_back {
                    watched.restart(Self::KIND, |_| ());
                }
            }
        });
        Ok(worker)
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log(&self) -> MutexGuard<'_, Vec<Begun>> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Text of its entry in the list of workers.
    pub fn entry(&self, service: &str) -> String {
        let life = self.life();
        let place = &self.place;
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":{}}},\"labels\":[{},{}],\
             \"clock_ms\":{},\"born\":{},\"sequence\":{}}}",
            quote(service),
            self.address,
            quote(&place.zone),
            Self::CPU,
            Self::MEMORY_MB,
            Self::GPU,
            quote(life.kind),
            quote(&place.rack),
            life.clock_ms(),
            life.born_unix_ms,
            life.clock_ms() / 1_000
        )
    }

    /// Ends the process at once: what runs on it is lost.
    pub fn crash(&self) {
        self.crash_runs(&mut self.life());
    }

    fn crash_runs(&self, life: &mut Life) {
        self.is_down.store(true, Ordering::SeqCst);
        let now_ms = self.record.line(&format!(
            "worker {} crashes with {} runs",
            self.place.id,
            life.runs.len()
        ));
        for run in std::mem::take(&mut life.runs) {
            self.log()[run.begun].end = Some((now_ms, "crashed"));
        }
    }

    /// Starts a new process under the same id after a crash. It serves calls once `register` has written its entry.
    pub fn restart(&self, kind: &'static str, register: impl FnOnce(&Self)) {
        *self.life() = Life::new(kind);
        register(self);
        self.link.generation.fetch_add(1, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        self.record
            .line(&format!("worker {} starts again, kind {kind}", self.place.id));
    }

    /// Number of its runs.
    pub fn run_count(&self) -> usize {
        self.life().runs.len()
    }

    fn advance(&self, life: &mut Life) {
        let now = Instant::now();
        let has_lapsed = life.lease_until.is_some_and(|until| now > until);
        let mut index = 0;
        while index < life.runs.len() {
            let run = &life.runs[index];
            let is_done = !run.is_lasting && run.started.elapsed() >= run.work;
            let how = if has_lapsed {
                "lapsed"
            } else if is_done {
                "done"
            } else if run.stop_at.is_some_and(|at| now >= at) {
                "stopped"
            } else {
                index += 1;
                continue;
            };
            let run = life.runs.swap_remove(index);
            let now_ms = self
                .record
                .line(&format!("{} ends {} {} {how}", self.place.id, run.task, run.number));
            self.log()[run.begun].end = Some((now_ms, how));
            let settled = life.settled.entry(run.task.clone()).or_default();
            *settled = run.number.max(*settled);
            life.ends.push(End {
                number: life.next_end,
                task: run.task,
                run: run.number,
                how,
            });
            life.next_end += 1;
        }
        if has_lapsed {
            life.lease_until = None;
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.hangs.load(Ordering::SeqCst) || self.is_down.load(Ordering::SeqCst) {
            return Reply::Silence;
        }
        if request.header("Galenaspool-Expect-Instance") != self.place.id {
            return Reply::Answer(421, "{}".into());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        match request.path.as_str() {
            "/api/run-start" => self.begin(&body),
            "/api/run-stop" => self.stop(&body),
            "/api/hold" => self.hold(&body),
            "/api/pace" => self.answer(&self.life(), 200, ""),
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn answer(&self, life: &Life, status: u16, reason: &str) -> Reply {
        let reason = if reason.is_empty() {
            String::new()
        } else {
            format!(",\"reason\":\"{reason}\"")
        };
        Reply::Answer(status, format!("{{\"clock_ms\":{}{reason}}}", life.clock_ms()))
    }

    /// Takes note of a fence number; returns whether the command may take effect.
    fn fence(life: &mut Life, body: &Json) -> bool {
        let fence = body.number("fencing_token").unwrap_or(0);
        let is_valid = fence >= life.fence;
        life.fence = life.fence.max(fence);
        is_valid
    }

    fn extend(life: &mut Life, deadline_ms: u64) {
        let until = life.clock_start + Duration::from_millis(deadline_ms);
        let until = until.min(Instant::now() + Self::HOLD_MAX);
        life.lease_until = Some(life.lease_until.map_or(until, |known| known.max(until)));
    }

    fn begin(&self, body: &Json) -> Reply {
        let mut life = self.life();
        let life = &mut *life;
        self.advance(life);
        let (task, number) = (body.text("task"), body.number("run").unwrap_or(0));
        if !Self::fence(life, body) {
            return self.answer(life, 409, "fence");
        }
        if life.runs.iter().any(|run| run.task == task && run.number == number) {
            return self.answer(life, 200, "");
        }
        let deadline_ms = body.number("deadline_ms").unwrap_or(0);
        let is_late = deadline_ms <= life.clock_ms();
        if !is_late {
            Self::extend(life, deadline_ms);
        }
        if life.settled.get(task).is_some_and(|settled| *settled >= number) {
            return self.answer(life, 409, "old");
        }
        if is_late {
            return self.answer(life, 409, "late");
        }
        let spec = body.text("spec");
        let at_ms = self.record.line(&format!("{} begins {task} {number}", self.place.id));
        let mut log = self.log();
        log.push(Begun {
            at_ms,
            worker: self.place.id.clone(),
            task: task.to_owned(),
            run: number,
            kind: life.kind,
            end: None,
        });
        if spec == Self::CRASHING_SPEC {
            drop(log);
            self.crash_runs(life);
            let end = Some((at_ms, "crashed"));
            self.log()
                .iter_mut()
                .rev()
                .find(|begun| begun.at_ms == at_ms && begun.task == task)
                .expect("it was added")
                .end = end;
            life.back_at = Some(Instant::now() + Self::DOWNTIME);
            return Reply::Silence;
        }
        let work_ms = spec.strip_prefix("work_ms=").and_then(|ms| ms.parse().ok());
        life.runs.push(Run {
            task: task.to_owned(),
            number,
            started: Instant::now(),
            work: Duration::from_millis(work_ms.unwrap_or(0)),
            is_lasting: work_ms.is_none(),
            stop_at: None,
            begun: log.len() - 1,
        });
        drop(log);
        self.answer(life, 200, "")
    }

    fn stop(&self, body: &Json) -> Reply {
        let mut life = self.life();
        let life = &mut *life;
        self.advance(life);
        let (task, number) = (body.text("task"), body.number("run").unwrap_or(0));
        if !Self::fence(life, body) {
            return self.answer(life, 409, "fence");
        }
        match life
            .runs
            .iter_mut()
            .find(|run| run.task == task && run.number == number)
        {
            Some(run) => {
                run.stop_at.get_or_insert(Instant::now() + Self::STOP_TIME);
            }
            None => {
                let settled = life.settled.entry(task.to_owned()).or_default();
                *settled = number.max(*settled);
            }
        }
        self.answer(life, 200, "")
    }

    fn hold(&self, body: &Json) -> Reply {
        const MOST_ENDS: usize = 500;
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let born_unix_ms = {
            let mut life = self.life();
            self.advance(&mut life);
            if !Self::fence(&mut life, body) {
                return self.answer(&life, 409, "fence");
            }
            let seen = body.number("last_seen").unwrap_or(0);
            life.ends.retain(|end| end.number > seen);
            if let Some(deadline_ms) = body.number("deadline_ms") {
                Self::extend(&mut life, deadline_ms);
            }
            life.born_unix_ms
        };
        loop {
            let mut life = self.life();
            if self.is_down.load(Ordering::SeqCst)
                || self.hangs.load(Ordering::SeqCst)
                || life.born_unix_ms != born_unix_ms
            {
                return Reply::Silence;
            }
            self.advance(&mut life);
            if !life.ends.is_empty() || Instant::now() >= until {
                let running: Vec<_> = life.runs.iter().map(Run::row).collect();
                let ends = life.ends.iter().take(MOST_ENDS);
                let ends: Vec<_> = ends
                    .map(|end| format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how))
                    .collect();
                let body = format!(
                    "{{\"clock_ms\":{},\"born\":{born_unix_ms},\"running\":[{}],\"finished\":[{}]}}",
                    life.clock_ms(),
                    running.join(","),
                    ends.join(",")
                );
                return Reply::Answer(200, body);
            }
            drop(life);
            thread::sleep(Self::POLL);
        }
    }
}

impl Run {
    const STARTUP: Duration = Duration::from_millis(300);

    fn row(&self) -> String {
        let elapsed = self.started.elapsed();
        let percent = if self.is_lasting {
            if elapsed > Self::STARTUP { 100 } else { 50 }
        } else {
            (elapsed.as_millis() * 100 / self.work.as_millis().max(1)).min(99)
        };
        format!("[{},{},\"\",{percent},0]", quote(&self.task), self.number)
    }
}
