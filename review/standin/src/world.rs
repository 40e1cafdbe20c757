//! Deployment of a case: stand-ins, the project's instances as processes, and callers.

use std::fs::{self, File};
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Response, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Fleet;

pub const HOST: &str = "quotes.example";
pub const SERVICE: &str = "pondval";
pub const KEY: &str = "key-of-clyde-0001";
pub const CONTACT_MS: u64 = 3_000;

/// Queue: name, path prefix and priority.
pub const ROUTES: [(&str, &str, u32); 6] = [
    ("r-urgent", "/urgent/", 0),
    ("r-normal", "/normal/", 1),
    ("r-bulk", "/bulk/", 2),
    ("r-appraisal", "/appraisal/", 1),
    ("r-reval", "/reval/", 2),
    ("r-stock", "/stock/", 2),
];

/// Process of an instance.
pub struct Instance {
    pub name: String,
    pub front: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub instances: Vec<Arc<Instance>>,
    program: PathBuf,
    _servers: Vec<Server>,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

impl World {
    /// Starts the stand-ins and six instances in three data centres, and waits until all are ready.
    pub fn start(
        program: &Path,
        folder: &Path,
        machines: &[(String, String, String, String)],
        seed: u64,
        record: Arc<Record>,
    ) -> Option<Self> {
        let store = Store::new(seed, Arc::clone(&record));
        store.put("op", "config", &config());
        let fleet = Fleet::start(SERVICE, machines, Arc::clone(&store), Arc::clone(&record));
        let served = Arc::clone(&store);
        let store_server = Server::start("127.0.0.1:0", move |request| served.handle(request)).ok()?;
        let served = Arc::clone(&fleet);
        let cloud_server = Server::start("127.0.0.1:0", move |request| served.handle_cloud(request)).ok()?;
        let advice_server = Server::start("127.0.0.1:0", |_| Response::Reply(429, "{}".into())).ok()?;
        let zones = ["scot-forth", "scot-clyde", "scot-tay"];
        let mut instances = Vec::new();
        for index in 0..6 {
            let zone = zones[index / 2];
            let name = format!("edge-{zone}-{}", index % 2 + 1);
            let [front, ready, peer] = [free_address()?, free_address()?, free_address()?];
            let settings = folder.join(format!("{name}.json5"));
            let text = settings_text(
                &name,
                zone,
                &front,
                &ready,
                &peer,
                &store_server.address.to_string(),
                &cloud_server.address.to_string(),
                &advice_server.address.to_string(),
            );
            fs::write(&settings, text).ok()?;
            let instance = Arc::new(Instance {
                log: folder.join(format!("{name}.log")),
                name,
                front,
                ready,
                settings,
                child: Mutex::new(None),
            });
            instances.push(instance);
        }
        let world = Self {
            record,
            store,
            fleet,
            instances,
            program: program.to_owned(),
            _servers: vec![store_server, cloud_server, advice_server],
        };
        for instance in &world.instances {
            world.spawn(instance)?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !world.instances.iter().all(|instance| instance.is_ready()) {
            if Instant::now() > until {
                world.record.say("the instances do not become ready");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        world.record.line("all instances are ready");
        Some(world)
    }

    /// Starts the process of an instance with the command of the deploy file.
    pub fn spawn(&self, instance: &Instance) -> Option<()> {
        let log = File::options().create(true).append(true).open(&instance.log).ok()?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        self.record
            .line(format!("{} starts, process {}", instance.name, child.id()));
        let mut processes = File::options()
            .create(true)
            .append(true)
            .open(instance.log.with_file_name("processes"))
            .ok()?;
        let _ = writeln!(processes, "{}", child.id());
        *instance.child.lock().unwrap() = Some(child);
        Some(())
    }

    pub fn signal(&self, instance: &Instance, signal: i32) {
        if let Some(child) = instance.child.lock().unwrap().as_ref() {
            self.record.line(format!("signal {signal} to {}", instance.name));
            // SAFETY: the process was started by this one and has not been waited for, so the id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process of an instance has ended, and kills it after the grace period.
    pub fn wait_for_end(&self, instance: &Instance, grace: Duration) {
        let until = Instant::now() + grace;
        let mut guard = instance.child.lock().unwrap();
        let Some(child) = guard.as_mut() else { return };
        while child.try_wait().is_ok_and(|status| status.is_none()) {
            if Instant::now() > until {
                let _ = child.kill();
                let _ = child.wait();
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(format!("{} has ended", instance.name));
        *guard = None;
    }

    /// Returns the instance that holds the scheduling lease, as the operators' interface shows it.
    pub fn holder(&self) -> Option<Arc<Instance>> {
        let reply = self.instances.iter().find_map(|instance| {
            let reply = http::call(&instance.ready, "GET", "/v1/instance", &[], "", Duration::from_secs(1))?;
            Json::parse(&reply.1)
        })?;
        let holder = reply.text("holder")?;
        self.instances.iter().find(|instance| instance.name == holder).cloned()
    }

    /// Sends a caller's request to an instance.
    pub fn call(&self, instance: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let instance = &self.instances[instance % self.instances.len()];
        let authorization = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("Galenaspool-Deadline-Ms", "3000"),
        ];
        let reply = http::call(
            &instance.front,
            method,
            path,
            &headers,
            body,
            Duration::from_millis(3_500),
        );
        let shown = reply
            .as_ref()
            .map_or("no reply".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record
            .line(format!("{method} {path} at {}: {shown}", instance.name));
        reply
    }

    /// Submits a job; repeats the request with the same id at other instances until it is answered. Returns whether the
    /// job was accepted.
    pub fn submit(&self, path: &str, body: &str, first: usize) -> bool {
        for attempt in 0..5 {
            match self.call(first + attempt, "POST", path, body) {
                Some((200..=299, _)) => return true,
                Some((502 | 504, _)) | None => {}
                Some((429 | 503, _)) => thread::sleep(Duration::from_secs(1)),
                Some(_) => return false,
            }
        }
        false
    }

    /// Returns the state of a job as some instance shows it.
    pub fn state(&self, path: &str) -> Option<String> {
        (0..self.instances.len()).find_map(|index| {
            let (status, body) = self.call(index, "GET", path, "")?;
            if status != 200 {
                return None;
            }
            Json::parse(&body)?.text("state").map(str::to_owned)
        })
    }

    /// Ends all processes.
    pub fn stop(&self) {
        for instance in &self.instances {
            if let Some(mut child) = instance.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.record.flush();
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Instance {
    pub fn is_ready(&self) -> bool {
        let reply = http::call(&self.ready, "GET", "/api/ready", &[], "", Duration::from_secs(1));
        reply.is_some_and(|(status, _)| status == 200)
    }
}

/// Returns a free loopback address with a port below those that the system gives to outgoing connections, which could
/// otherwise take it before the instance does.
fn free_address() -> Option<String> {
    const FIRST_PORT: u32 = 15_000;
    const PORTS: u32 = 15_000;
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let number = std::process::id().wrapping_mul(97) % PORTS + TAKEN.fetch_add(1, Ordering::SeqCst);
        let address = format!("127.0.0.1:{}", FIRST_PORT + number % PORTS);
        if TcpListener::bind(&address).is_ok() {
            return Some(address);
        }
    }
    None
}

fn config() -> String {
    let routes: Vec<_> = ROUTES
        .iter()
        .map(|(name, prefix, priority)| {
            format!(
                r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","kind":"non_idempotent","timeout_ms":3000,"slo_ms":3000,"priority":{priority},"service":"{SERVICE}","attempts":4,"slo_factor":3.0,"public":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"rejects_overload":false,"standby":false}}],"limits":{{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"clyde-koi","api_keys":["{KEY}"],"priority":1,"guaranteed":{{"gpu":8}}}}]}}"#,
        routes.join(",")
    )
}

/// Settings of an instance: the template of the deploy file with the bounds of a small deployment.
#[expect(clippy::too_many_arguments, reason = "each is one field of the template")]
fn settings_text(
    name: &str,
    zone: &str,
    front: &str,
    ready: &str,
    peer: &str,
    store: &str,
    cloud: &str,
    advice: &str,
) -> String {
    format!(
        r#"{{
  instance: "{name}",
  data_centre: "{zone}",
  http_address: "{front}",
  peer_address: "{peer}",
  platform_url: "http://{store}",
  domain: {{
    ready_address: "{ready}",
    machines_address: "{cloud}",
    advice_address: "{advice}",
    has_cross_part_txns: true,
    row_bytes: 65536,
    cpu_share: 0.25,
    lease_max_ms: 6000,
    stop_grace_ms: 200,
    gang_wait_ms: 3000,
    remote_factor: 3,
    reclaim_ms: 2700,
    revoke_ms: 5000,
    contact_ms: 3000,
    status_s: 120,
    process_grace_s: 6,
  }},
}}
"#
    )
}
