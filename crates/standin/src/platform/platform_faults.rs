use serde::{Deserialize, Serialize};

/// Faults of the platform; `POST /v1/faults` replaces all of them, so `{}` clears them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether requests get no reply and have no effect.
    pub outage: bool,
    /// Whether requests are refused with status 503.
    pub refuse: bool,
    /// Delay of each request before it takes effect, in milliseconds. A slow write may take effect after its sender
    /// timed out.
    pub slow_ms: u64,
    /// Number of coming writes that take effect but get no reply.
    pub lose_next: u64,
    /// Every n-th write takes effect but gets no reply; 0 means none.
    pub lose_every: u64,
    /// How long a lost reply keeps the sender waiting, in milliseconds; 0 closes the connection at once.
    pub lose_hang_ms: u64,
    /// Whether the published list of instances is frozen.
    pub freeze_list: bool,
}
