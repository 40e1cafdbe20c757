use serde::{Deserialize, Serialize};

/// Faults of the platform; `POST /v1/faults` replaces them as a whole, so `{}` ends all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether requests get no reply and have no effect.
    pub outage: bool,
    /// Whether requests are refused with status 503.
    pub refuse: bool,
    /// Delay of each request before it takes effect, in milliseconds. A slow write may take effect after its sender
    /// gave up.
    pub slow_ms: u64,
    /// How many of the next writes take effect without a reply.
    pub lose_next: u64,
    /// Every how many writes one takes effect without a reply; 0 means none.
    pub lose_every: u64,
    /// How long a lost reply keeps the sender waiting, in milliseconds; 0 closes the connection at once.
    pub lose_hang_ms: u64,
    /// Whether the list of instances stays as it is.
    pub freeze_list: bool,
}
