//! Stand-in of the workers and of the machines on which they run.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

pub const HOLD_MAX_MS: u64 = 6_000;
pub const HEARTBEAT_MS: u64 = 1_500;
const MAINTENANCE_MS: u64 = 2_000;
/// Time until a stopped run has ended; `stop_grace_ms` is 200.
const STOP_MS: u64 = 50;

/// Capacity of every worker.
pub const CPU_MILLI: u64 = 32_000;
const MEM_MB: u64 = 65_536;
const GPUS: u64 = 8;

/// One start of a task, as its worker sees it.
#[derive(Debug, Clone)]
pub struct Execution {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

struct Run {
    execution: usize,
    number: u64,
    began: Instant,
    /// `None` for a task that runs until it is stopped.
    length_ms: Option<u64>,
    /// It fails by its own fault at the end.
    fails: bool,
    stop_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// State of one life of a worker.
struct Life {
    id: String,
    born_unix_ms: u64,
    began: Instant,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    old: HashMap<String, u64>,
    ends: Vec<End>,
    next_end: u64,
    sequence: u64,
    server: Server,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        // Starts well above 0, so that a time before the start of the process can be expressed.
        100_000 + self.began.elapsed().as_millis() as u64
    }
}

/// Machine with its worker.
pub struct Machine {
    pub name: String,
    pub kind: String,
    pub rack: String,
    pub zone: String,
    life: Mutex<Option<Life>>,
    ended: Condvar,
    lives: Mutex<u64>,
    waves_done: Mutex<Vec<u64>>,
    is_in_upkeep: Mutex<bool>,
}

/// All machines of the service.
pub struct Fleet {
    pub service: String,
    pub machines: Vec<Arc<Machine>>,
    pub executions: Mutex<Vec<Execution>>,
    /// End of the newest listed run that was acknowledged, and all ends listed, over all lives.
    pub ends_listed: Mutex<u64>,
    pub ends_acknowledged: Mutex<u64>,
    store: Arc<Store>,
    pub record: Arc<Record>,
}

impl Fleet {
    /// Starts one worker on each of the given machines: name, kind, rack and zone.
    pub fn start(
        service: &str,
        machines: &[(String, String, String, String)],
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let machines = machines
            .iter()
            .map(|(name, kind, rack, zone)| {
                Arc::new(Machine {
                    name: name.clone(),
                    kind: kind.clone(),
                    rack: rack.clone(),
                    zone: zone.clone(),
                    life: Mutex::new(None),
                    ended: Condvar::new(),
                    lives: Mutex::new(0),
                    waves_done: Mutex::default(),
                    is_in_upkeep: Mutex::new(false),
                })
            })
            .collect();
        let fleet = Arc::new(Self {
            service: service.into(),
            machines,
            executions: Mutex::default(),
            ends_listed: Mutex::new(0),
            ends_acknowledged: Mutex::new(0),
            store,
            record,
        });
        for machine in &fleet.machines {
            fleet.start_worker(machine);
        }
        let running = Arc::clone(&fleet);
        thread::spawn(move || {
            let mut next_heartbeat = Instant::now();
            loop {
                for machine in &running.machines {
                    running.advance(machine);
                }
                if Instant::now() >= next_heartbeat {
                    next_heartbeat += Duration::from_millis(HEARTBEAT_MS);
                    for machine in &running.machines {
                        running.write_entry(machine);
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        fleet
    }

    /// Starts a new worker on a machine, under a new id and at a new address.
    pub fn start_worker(self: &Arc<Self>, machine: &Arc<Machine>) {
        let mut lives = machine.lives.lock().unwrap();
        *lives += 1;
        self.start_life(machine, format!("i-{}-{lives}", machine.name), "127.0.0.1:0");
    }

    /// Starts the worker of a machine again under the id and at the address that it had.
    pub fn restart_worker(self: &Arc<Self>, machine: &Arc<Machine>, (id, address): (String, SocketAddr)) {
        self.start_life(machine, id, &address.to_string());
    }

    fn start_life(self: &Arc<Self>, machine: &Arc<Machine>, id: String, address: &str) {
        let (fleet, served) = (Arc::clone(self), Arc::clone(machine));
        let server = Server::start(address, move |request| fleet.handle(&served, request));
        let server = server.expect("the loopback address is free");
        self.record.line(format!("worker {id} starts at {}", server.address));
        let born_unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64);
        *machine.life.lock().unwrap() = Some(Life {
            id,
            born_unix_ms,
            began: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            old: HashMap::new(),
            ends: Vec::new(),
            next_end: 1,
            sequence: 0,
            server,
        });
        self.write_entry(machine);
    }

    /// Ends the worker of a machine at once; everything on it ends, and its entry is removed later. Returns its id and
    /// address.
    pub fn crash_worker(self: &Arc<Self>, machine: &Arc<Machine>, cause: &str) -> Option<(String, SocketAddr)> {
        let life = machine.life.lock().unwrap().take()?;
        self.record.line(format!("worker {} ends: {cause}", life.id));
        life.server.crash();
        let now_ms = self.record.now_ms();
        let mut executions = self.executions.lock().unwrap();
        for run in life.runs.values() {
            let execution = &mut executions[run.execution];
            execution.ended_ms = Some(now_ms);
            execution.how = "lost";
        }
        drop(executions);
        machine.ended.notify_all();
        // The entry goes after three heartbeats of silence.
        let former = (life.id.clone(), life.server.address);
        let (fleet, machine, id) = (Arc::clone(self), Arc::clone(machine), life.id);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
            if fleet.worker_id(&machine).as_ref() != Some(&id) {
                fleet.store.remove("servers", &id);
            }
        });
        Some(former)
    }

    pub fn worker_id(&self, machine: &Machine) -> Option<String> {
        machine.life.lock().unwrap().as_ref().map(|life| life.id.clone())
    }

    pub fn running_on(&self, machine: &Machine) -> usize {
        machine.life.lock().unwrap().as_ref().map_or(0, |life| life.runs.len())
    }

    fn write_entry(&self, machine: &Machine) {
        let mut life = machine.life.lock().unwrap();
        let Some(life) = life.as_mut() else { return };
        life.sequence += 1;
        let entry = format!(
            r#"{{"service":{},"address":"{}","zone":{},"version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{{"cpu":{CPU_MILLI},"mem_mb":{MEM_MB},"gpu":{GPUS}}},"labels":[{},{}],"clock_ms":{},"sequence":{},"born":{}}}"#,
            quote(&self.service),
            life.server.address,
            quote(&machine.zone),
            quote(&machine.kind),
            quote(&machine.rack),
            life.clock_ms(),
            life.sequence,
            life.born_unix_ms
        );
        self.store.put("servers", &life.id, &entry);
    }

    /// Ends the runs that are done, stopped or without a lease.
    fn advance(&self, machine: &Machine) {
        let mut guard = machine.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let has_lapsed = life.clock_ms() > life.lease_until_ms;
        let mut ended = Vec::new();
        for (task, run) in &life.runs {
            let elapsed_ms = run.began.elapsed().as_millis() as u64;
            let how = if run.stop_at.is_some_and(|at| Instant::now() >= at) {
                "stopped"
            } else if run.length_ms.is_some_and(|length_ms| elapsed_ms >= length_ms) {
                if run.fails { "failed" } else { "done" }
            } else if has_lapsed {
                "lapsed"
            } else {
                continue;
            };
            ended.push((task.clone(), how));
        }
        if ended.is_empty() {
            return;
        }
        let now_ms = self.record.now_ms();
        for (task, how) in ended {
            let Some(run) = life.runs.remove(&task) else { continue };
            let mut executions = self.executions.lock().unwrap();
            executions[run.execution].ended_ms = Some(now_ms);
            executions[run.execution].how = how;
            drop(executions);
            self.record
                .line(format!("worker {} ends {task} run {}: {how}", life.id, run.number));
            let highest = life.old.entry(task.clone()).or_default();
            *highest = (*highest).max(run.number);
            life.ends.push(End {
                number: life.next_end,
                task,
                run: run.number,
                how,
            });
            life.next_end += 1;
            *self.ends_listed.lock().unwrap() += 1;
        }
        machine.ended.notify_all();
    }

    fn handle(&self, machine: &Machine, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else {
            return Response::Reply(400, "{}".into());
        };
        let mut guard = machine.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return Response::Silence;
        };
        let expected = request.headers.get("galenaspool-expect-instance");
        if expected.is_some_and(|expected| *expected != life.id) {
            return Response::Reply(421, "{}".into());
        }
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < life.fence {
            return rejected(life, "fence");
        }
        life.fence = fence;
        match request.path.as_str() {
            "/api/run-start" => self.start_run(life, &body),
            "/api/run-stop" => {
                let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
                    return Response::Reply(400, "{}".into());
                };
                let highest = life.old.entry(task.to_owned()).or_default();
                *highest = (*highest).max(run);
                if let Some(running) = life.runs.get_mut(task).filter(|running| running.number <= run) {
                    let stop_at = Instant::now() + Duration::from_millis(STOP_MS);
                    running.stop_at.get_or_insert(stop_at);
                }
                Response::Reply(200, format!(r#"{{"clock_ms":{}}}"#, life.clock_ms()))
            }
            "/api/hold" => {
                if let Some(deadline_ms) = body.number("deadline_ms") {
                    extend_lease(life, deadline_ms);
                }
                let seen = body.number("last_seen").unwrap_or(0);
                let before = life.ends.len();
                life.ends.retain(|end| end.number > seen);
                *self.ends_acknowledged.lock().unwrap() += (before - life.ends.len()) as u64;
                let until = Instant::now() + Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
                let id = life.id.clone();
                loop {
                    let Some(life) = guard.as_mut().filter(|life| life.id == id) else {
                        return Response::Silence;
                    };
                    let now = Instant::now();
                    if !life.ends.is_empty() || now >= until {
                        return Response::Reply(200, report(life));
                    }
                    guard = machine.ended.wait_timeout(guard, until - now).unwrap().0;
                }
            }
            "/api/pace" => Response::Reply(200, format!(r#"{{"clock_ms":{}}}"#, life.clock_ms())),
            _ => Response::Reply(404, "{}".into()),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Response {
        let (Some(task), Some(run), Some(deadline_ms)) =
            (body.text("task"), body.number("run"), body.number("deadline_ms"))
        else {
            return Response::Reply(400, "{}".into());
        };
        if deadline_ms <= life.clock_ms() {
            return rejected(life, "late");
        }
        extend_lease(life, deadline_ms);
        if life.runs.get(task).is_some_and(|running| running.number == run) {
            return Response::Reply(200, format!(r#"{{"clock_ms":{}}}"#, life.clock_ms()));
        }
        if life.old.get(task).is_some_and(|highest| run <= *highest) || life.runs.contains_key(task) {
            return rejected(life, "old");
        }
        let spec = body.text("spec").unwrap_or("");
        let (length_ms, fails) = (length_of(spec), spec.starts_with("fail"));
        let mut executions = self.executions.lock().unwrap();
        executions.push(Execution {
            task: task.to_owned(),
            run,
            worker: life.id.clone(),
            began_ms: self.record.now_ms(),
            ended_ms: None,
            how: "",
        });
        let started = Run {
            execution: executions.len() - 1,
            number: run,
            began: Instant::now(),
            length_ms,
            fails,
            stop_at: None,
        };
        drop(executions);
        self.record.line(format!("worker {} starts {task} run {run}", life.id));
        life.runs.insert(task.to_owned(), started);
        Response::Reply(200, format!(r#"{{"clock_ms":{}}}"#, life.clock_ms()))
    }

    /// Answers a call of the machine management interface.
    pub fn handle_cloud(self: &Arc<Self>, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/machines") => {
                let machines: Vec<_> = self
                    .machines
                    .iter()
                    .map(|machine| {
                        let id = self.worker_id(machine).unwrap_or_default();
                        let is_in_upkeep = *machine.is_in_upkeep.lock().unwrap();
                        let state = match (is_in_upkeep, id.is_empty()) {
                            (true, _) => "upkeep",
                            (false, true) => "down",
                            (false, false) => "up",
                        };
                        format!(
                            r#"{{"machine":{},"pool":{},"state":"{state}","zone":{},"labels":[{},{}],"capacity":{{"cpu":{CPU_MILLI},"mem_mb":{MEM_MB},"gpu":{GPUS}}},"id":{}}}"#,
                            quote(&machine.name),
                            quote(&self.service),
                            quote(&machine.zone),
                            quote(&machine.kind),
                            quote(&machine.rack),
                            quote(&id)
                        )
                    })
                    .collect();
                Response::Reply(
                    200,
                    format!(r#"{{"machines":[{}],"next_token":null}}"#, machines.join(",")),
                )
            }
            ("POST", "/api/machine-upkeep") => self.start_upkeep(request),
            _ => Response::Reply(404, "{}".into()),
        }
    }

    fn start_upkeep(self: &Arc<Self>, request: &Request) -> Response {
        let body = Json::parse(&request.body);
        let named = body.as_ref().and_then(|body| {
            let machine = self
                .machines
                .iter()
                .find(|known| Some(known.name.as_str()) == body.text("machine"))?;
            Some((Arc::clone(machine), body.number("maintenance_wave")?))
        });
        let Some((machine, wave)) = named else {
            return Response::Reply(400, "{}".into());
        };
        let holder = request
            .headers
            .get("galenaspool-lease-holder")
            .cloned()
            .unwrap_or_default();
        let order = format!("upkeep of {} for wave {wave} ordered by {holder}", machine.name);
        let is_in_wave = self
            .store
            .text("op", &format!("wave/{wave}"))
            .and_then(|text| Json::parse(&text))
            .is_some_and(|row| row.list("machines").contains(&Json::Text(machine.name.clone())));
        if !is_in_wave {
            self.record.line(format!("{order}: 409 wave"));
            return Response::Reply(409, r#"{"reason":"wave"}"#.into());
        }
        if machine.waves_done.lock().unwrap().contains(&wave) {
            let running = self.running_on(&machine);
            self.record
                .line(format!("{order}: 200, already done; {running} tasks run on"));
            return Response::Reply(200, "{}".into());
        }
        if self.worker_id(&machine).is_none() {
            self.record.line(format!("{order}: 409 busy"));
            return Response::Reply(409, r#"{"reason":"busy"}"#.into());
        }
        self.record.line(format!("{order}: 200, begins"));
        machine.waves_done.lock().unwrap().push(wave);
        *machine.is_in_upkeep.lock().unwrap() = true;
        self.crash_worker(&machine, "upkeep");
        let fleet = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(MAINTENANCE_MS));
            fleet.start_worker(&machine);
            *machine.is_in_upkeep.lock().unwrap() = false;
        });
        Response::Reply(200, "{}".into())
    }
}

/// Returns the run time that the payload of a job states: `run 1500 ms`, `fail 300 ms` or `run until
/// stopped`.
fn length_of(spec: &str) -> Option<u64> {
    spec.split_whitespace().nth(1)?.parse().ok()
}

fn extend_lease(life: &mut Life, deadline_ms: u64) {
    let granted_ms = deadline_ms.min(life.clock_ms() + HOLD_MAX_MS);
    life.lease_until_ms = life.lease_until_ms.max(granted_ms);
}

fn rejected(life: &Life, reason: &str) -> Response {
    Response::Reply(
        409,
        format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, life.clock_ms()),
    )
}

fn report(life: &Life) -> String {
    let running: Vec<_> = life
        .runs
        .iter()
        .map(|(task, run)| {
            let elapsed_ms = run.began.elapsed().as_millis() as u64;
            let percent = run
                .length_ms
                .map_or(100, |length_ms| (elapsed_ms * 100 / length_ms.max(1)).min(99));
            format!(r#"[{},{},"",{percent}]"#, quote(task), run.number)
        })
        .collect();
    let ends: Vec<_> = life
        .ends
        .iter()
        .take(500)
        .map(|end| format!(r#"[{},{},{},"{}",""]"#, end.number, quote(&end.task), end.run, end.how))
        .collect();
    format!(
        r#"{{"clock_ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
        life.clock_ms(),
        life.born_unix_ms,
        running.join(","),
        ends.join(",")
    )
}
