use compact_str::CompactString;

/// Queue of jobs.
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
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub attempts: u32,
    /// Completion objective as a factor of the longest chain of work.
    pub objective_factor: f64,
    /// Constant part of the completion objective.
    pub objective_ms: u64,
    /// Longest time for an answer.
    pub timeout_ms: u64,
    /// Requests need no key.
    pub is_public: bool,
    /// How long advice on the workers of a step is valid, if the policy of the queue restricts them.
    pub advice_validity_ms: Option<u64>,
}

/// Pool of workers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Its machines are off until they are moved to another pool.
    pub is_standby: bool,
}

/// Owner of jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: CompactString,
    /// Keys of its callers.
    pub keys: Vec<CompactString>,
    /// Accelerators that belong to its jobs of priority 0 at all times.
    pub guaranteed_accelerators: u64,
}

/// Configuration of the operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Version of the operators; rises.
    pub version: u64,
    /// Queues.
    pub routes: Vec<Route>,
    /// Pools of workers.
    pub services: Vec<Service>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Largest request body; 0 means no limit.
    pub max_body_bytes: u64,
}

impl Config {
    /// Returns the queue of a request: the longest prefix of its path under its host.
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

    /// Returns the owner of a key.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        let owns = |organisation: &&Organisation| organisation.keys.iter().any(|own| own == key);
        self.organisations.iter().find(owns)
    }
}
