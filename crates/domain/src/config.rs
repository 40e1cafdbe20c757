use compact_str::CompactString;

use crate::Resources;

/// Job queue and the requests that are routed to it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Name.
    pub name: CompactString,
    /// Host of its requests.
    pub host: CompactString,
    /// Prefix of the paths of its requests.
    pub path_prefix: CompactString,
    /// Service whose workers run its tasks.
    pub service: CompactString,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task has failed.
    pub attempts: u32,
    /// Completion objective as a factor of the critical path.
    pub objective_factor: f64,
    /// Constant part of the completion objective.
    pub objective_ms: u64,
    /// Maximum time until a request is answered.
    pub timeout_ms: u64,
    /// Whether requests need no key.
    pub is_public: bool,
    /// How long a placement hint for a step is valid; `None` if the queue's policy does not restrict workers.
    pub hint_validity_ms: Option<u64>,
}

/// Pool of workers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Whether its machines are off until they are moved to another pool.
    pub is_standby: bool,
}

/// Organisation that owns jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: CompactString,
    /// Keys of its callers.
    pub keys: Vec<CompactString>,
    /// Accelerators that are guaranteed to its jobs of priority 0 at all times.
    pub guaranteed_accelerators: u64,
    /// Maximum that it may have running over all workers; an amount of 0 means no limit.
    pub maximum: Resources,
    /// Weight of its share when all capacity is taken; 0 means 1.
    pub weight: u64,
}

/// Configuration that operators set.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Version; increases with each change.
    pub version: u64,
    /// Queues.
    pub routes: Vec<Route>,
    /// Pools of workers.
    pub services: Vec<Service>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Maximum size of a request body; 0 means that the setting of the instance applies.
    pub max_body_bytes: u64,
    /// Maximum size of a request head; 0 means that the setting of the instance applies.
    pub max_header_bytes: u64,
    /// Longest time for a request head; 0 means that the setting of the instance applies.
    pub header_timeout_ms: u64,
    /// Longest time without a request on a connection; 0 means that the setting of the instance applies.
    pub idle_timeout_ms: u64,
}

impl Config {
    /// Returns the queue of a request: the route of its host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let is_match = |route: &&Route| route.host == host && path.starts_with(route.path_prefix.as_str());
        self.routes
            .iter()
            .filter(is_match)
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns a queue by its name.
    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Returns the organisation that owns a key.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        let owns = |organisation: &&Organisation| organisation.keys.iter().any(|own| own == key);
        self.organisations.iter().find(owns)
    }
}
