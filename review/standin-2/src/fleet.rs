//! The platform around the instances, and the instances as processes.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::cloud::Cloud;
use crate::http::{call, serve};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Begun, Place, Worker};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

pub const SERVICE: &str = "lending";
const HOST: &str = "kits.example";
const PREFIX: &str = "/kits/";
const KEY: &str = "key-of-branch";

/// Bounds of the site, as a process of it gets them.
const BOUNDS: [(&str, &str); 9] = [
    ("hold_max_ms", "6000"),
    ("stop_grace_ms", "200"),
    ("gang_wait_ms", "3000"),
    ("remote_factor", "3"),
    ("reclaim_ms", "2700"),
    ("revoke_ms", "5000"),
    ("contact_ms", "3000"),
    ("status_s", "120"),
    ("grace_s", "6"),
];

pub struct Instance {
    pub name: String,
    pub zone: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub workers: Vec<Arc<Worker>>,
    pub instances: Vec<Instance>,
    pub log: Arc<Mutex<Vec<Begun>>>,
    folder: PathBuf,
}

pub type Failure = Box<dyn std::error::Error>;

/// Returns a free address, which stays reserved as long as the listener in `reserved`.
fn free_address(reserved: &mut Vec<TcpListener>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr();
    reserved.push(listener);
    address
}

impl Fleet {
    /// Starts stand-ins and one instance in each zone; `per_zone` workers each.
    pub fn start(record: Arc<Record>, zones: &[&str], per_zone: usize) -> Result<Arc<Self>, Failure> {
        let folder = std::env::temp_dir().join(format!("galenaspool-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::new());
        let log: Arc<Mutex<Vec<Begun>>> = Arc::default();
        let mut workers = Vec::new();
        for (zone_number, zone) in zones.iter().enumerate() {
            for number in 0..per_zone {
                let place = Place {
                    id: format!("i-{zone_number}{number:02}"),
                    zone: (*zone).to_owned(),
                    rack: format!("r{zone_number}-{}", number / 8),
                    machine: format!("m-{zone_number}{number:02}"),
                };
                workers.push(Worker::start(place, Arc::clone(&log), Arc::clone(&record))?);
            }
        }
        let store_listener = TcpListener::bind("127.0.0.1:0")?;
        let store_address = store_listener.local_addr()?;
        let served = Arc::clone(&store);
        serve(
            store_listener,
            Arc::default(),
            Arc::new(move |request| served.handle(request)),
        );
        let cloud = Arc::new(Cloud::new(workers.clone(), Arc::clone(&record)));
        let cloud_listener = TcpListener::bind("127.0.0.1:0")?;
        let cloud_address = cloud_listener.local_addr()?;
        let served = Arc::clone(&cloud);
        serve(
            cloud_listener,
            Arc::default(),
            Arc::new(move |request| served.handle(request)),
        );
        let template = fs::read_to_string("deploy/settings.json5")?;
        let mut instances = Vec::new();
        let mut reserved = Vec::new();
        for zone in zones {
            let name = format!("edge-{zone}-1");
            let mut free = || free_address(&mut reserved);
            let (front, ready, peer) = (free()?, free()?, free()?);
            let mut text = template.clone();
            let mut set = |field: &str, value: &str| text = text.replace(&format!("{{{{{field}}}}}"), value);
            set("node", &name);
            set("zone", zone);
            set("bind_addrs.front", &front.to_string());
            set("bind_addrs.ready", &ready.to_string());
            set("ip", &peer.ip().to_string());
            set("port_range.0", &peer.port().to_string());
            set("platform.address", &store_address.to_string());
            set("platform.cross_region", "true");
            set("platform.row_bytes", "65536");
            set("cloud_api.address", &cloud_address.to_string());
            set("hint", "");
            set("limits.cpu_share", "0.25");
            for (bound, value) in BOUNDS {
                set(&format!("bounds.{bound}"), value);
            }
            let settings = folder.join(format!("{name}.json5"));
            fs::write(&settings, text)?;
            instances.push(Instance {
                name,
                zone: (*zone).to_owned(),
                front,
                ready,
                settings,
                child: Mutex::new(None),
            });
        }
        let fleet = Arc::new(Self {
            record,
            store,
            cloud,
            workers,
            instances,
            log,
            folder,
        });
        fleet.write_config();
        let beats = Arc::clone(&fleet);
        thread::spawn(move || beats.write_entries());
        drop(reserved);
        for instance in &fleet.instances {
            fleet.start_instance(instance)?;
        }
        Ok(fleet)
    }

    fn write_config(&self) {
        let config = format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"r-kits\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_ms\":3000,\"priority\":1,\"service\":\"{SERVICE}\",\
             \"attempts\":4,\"slo_factor\":3.0,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"standby\":false,\"rejects_overload\":false}}],\"limits\":{{\"body_bytes\":262144}},\
             \"tenants\":[{{\"name\":\"branch\",\"api_keys\":[\"{KEY}\"],\"guaranteed\":{{\"gpu\":8}}}}]}}"
        );
        self.store.put("op", "config", &config);
    }

    /// Keeps the entries of the workers in the list, as the platform and the workers do.
    fn write_entries(&self) {
        const BEAT: Duration = Duration::from_millis(1_500);
        let mut last_beats = vec![None::<Instant>; self.workers.len()];
        loop {
            for (worker, last_beat) in self.workers.iter().zip(&mut last_beats) {
                let is_heard = !worker.is_down.load(Ordering::SeqCst) && !worker.link.is_cut.load(Ordering::SeqCst);
                let silence = last_beat.map(|at| at.elapsed());
                if is_heard && silence.is_none_or(|silence| silence >= BEAT) {
                    *last_beat = Some(Instant::now());
                    self.register(worker);
                } else if !is_heard && silence.is_some_and(|silence| silence >= BEAT * 3) {
                    *last_beat = None;
                    self.record.line(&format!("entry of {} is removed", worker.place.id));
                    self.store.remove("servers", &worker.place.id);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Writes the entry of a worker that starts.
    pub fn register(&self, worker: &Worker) {
        self.store.put("servers", &worker.place.id, &worker.entry(SERVICE));
    }

    pub fn start_instance(&self, instance: &Instance) -> io::Result<()> {
        let log = self.folder.join(format!("{}.log", instance.name));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/galenaspoold");
        command
            .arg("--settings")
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        // The instance ends with the stand-ins, however these end.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command.spawn()?;
        self.record.line(&format!("instance {} starts", instance.name));
        *instance.child() = Some(child);
        Ok(())
    }

    /// Ends the process of an instance without notice.
    pub fn kill_instance(&self, instance: &Instance) {
        if let Some(mut child) = instance.child().take() {
            self.record.line(&format!("instance {} is killed", instance.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends all processes and removes the folder.
    pub fn end(&self) {
        for instance in &self.instances {
            if let Some(mut child) = instance.child().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    pub fn wait_until(&self, what: &str, limit: Duration, mut is_so: impl FnMut() -> bool) -> Result<(), Failure> {
        let until = Instant::now() + limit;
        while !is_so() {
            if Instant::now() >= until {
                return Err(format!("not within {limit:?}: {what}").into());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Waits until all instances are ready and one of them schedules; returns the place of that one.
    pub fn wait_until_ready(&self) -> Result<usize, Failure> {
        let limit = Duration::from_secs(20);
        self.wait_until("all instances are ready", limit, || {
            self.instances.iter().all(|instance| {
                let answer = call(instance.ready, ("GET", "/api/ready"), &[], "");
                answer.is_ok_and(|(status, _)| status == 200)
            })
        })?;
        let mut holder = None;
        self.wait_until("an instance schedules", limit, || {
            holder = self.holder();
            holder.is_some()
        })?;
        holder.ok_or_else(|| "no instance schedules".into())
    }

    /// Place of the instance that schedules, as the first instance that answers tells it.
    pub fn holder(&self) -> Option<usize> {
        let mut answers = self
            .instances
            .iter()
            .filter_map(|instance| call(instance.ready, ("GET", "/v1/instance"), &[], "").ok());
        let (_, body) = answers.next()?;
        let holder = Json::parse(body.as_bytes())?.text("holder").to_owned();
        self.instances.iter().position(|instance| instance.name == holder)
    }

    fn call(&self, instance: usize, method: &str, job: &str, body: &str) -> Result<(u16, String), Failure> {
        let token = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", token.as_str()),
            ("Content-Type", "application/json"),
            ("Galenaspool-Deadline-Ms", "3000"),
        ];
        let path = format!("{PREFIX}{job}");
        self.record
            .line(&format!("{method} {path} at {}", self.instances[instance].name));
        let answer = call(self.instances[instance].front, (method, &path), &headers, body)?;
        self.record
            .line(&format!("{method} {path} answered {} {}", answer.0, answer.1));
        Ok(answer)
    }

    /// Hands in a job with one step.
    pub fn submit(&self, instance: usize, job: &str, spec: &str, step: &str) -> Result<(), Failure> {
        let body = format!("{{\"spec\":{},\"steps\":[{step}]}}", quote(spec));
        match self.call(instance, "POST", job, &body)? {
            (200..300, _) => Ok(()),
            (status, body) => Err(format!("job {job} was not accepted: {status} {body}").into()),
        }
    }

    /// Cancels a job; returns when the confirmation arrived.
    pub fn cancel(&self, instance: usize, job: &str) -> Result<u64, Failure> {
        match self.call(instance, "DELETE", job, "")? {
            (200..300 | 410, _) => Ok(self.record.now_ms()),
            (status, body) => Err(format!("job {job} was not cancelled: {status} {body}").into()),
        }
    }

    /// State of a job as a caller sees it.
    pub fn state(&self, instance: usize, job: &str) -> Result<String, Failure> {
        let (status, body) = self.call(instance, "GET", job, "")?;
        let state = Json::parse(body.as_bytes()).map(|body| body.text("state").to_owned());
        Ok(state.unwrap_or_else(|| status.to_string()))
    }

    /// Runs of a job that were begun so far.
    pub fn begun(&self, job: &str) -> Vec<Begun> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter()
            .filter(|begun| begun.task.starts_with(job))
            .cloned()
            .collect()
    }
}

impl Instance {
    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
