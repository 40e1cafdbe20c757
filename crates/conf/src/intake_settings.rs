use serde::Deserialize;

/// Limits on what callers may make the process hold: bytes, connections and time. They apply to every HTTP listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct IntakeSettings {
    /// Memory of the machine. Default 120 MiB.
    pub memory_mb: u64,
    /// File descriptors of the machine. Default 3,075 descriptors.
    pub max_fds: u64,
    /// Descriptors that are kept for files and for the process's own connections. Default 1,024 descriptors.
    pub reserved_fds: u64,
    /// Budget of bytes held for requests over all connections; 0 means a quarter of `memory_mb`. Default 0 bytes.
    pub budget_bytes: u64,
    /// Part of the budget that is kept for other instances; 0 means a quarter of the budget. Default 0 bytes.
    pub peer_budget_bytes: u64,
    /// Largest message of another instance; 0 means four times `max_body_bytes` and 1 MiB more. Default 0 bytes.
    pub peer_message_bytes: u64,
    /// Most open connections of other instances. Default 128 connections.
    pub max_peer_connections: u64,
    /// Most open connections of callers; 0 means `max_fds` less `reserved_fds`. Default 0 connections.
    pub max_connections: u64,
    /// Largest request head. Default 16,384 bytes.
    pub header_bytes: u64,
    /// Longest time from the first byte of a head to its end. Default 3,000 ms.
    pub header_timeout_ms: u64,
    /// Longest time for a body. Default 30,000 ms.
    pub body_timeout_ms: u64,
    /// Least rate of a body, averaged from 3 s after its start. Default 4,096 bytes/s.
    pub body_min_bytes_per_s: u64,
    /// Longest time without a request on an open connection. Default 30,000 ms.
    pub idle_timeout_ms: u64,
    /// Longest time for which a reply may wait for its reader. Default 10,000 ms.
    pub write_timeout_ms: u64,
    /// Longest time for which the rest of a refused body is read before the connection is closed. Default 1,000 ms.
    pub linger_timeout_ms: u64,
    /// Most bytes of a refused body that are read before the connection is closed. Default 262,144 bytes.
    pub linger_bytes: u64,
}

impl IntakeSettings {
    /// Fraction of the memory of the machine that requests may hold. The rest is for the state of the scheduler, the
    /// buffers of sockets and the spare capacity of the allocator.
    const MEMORY_DIVISOR: u64 = 4;

    /// Returns the budget of bytes held for requests.
    pub const fn budget_bytes(&self) -> u64 {
        if self.budget_bytes > 0 {
            self.budget_bytes
        } else {
            self.memory_mb * (1 << 20) / Self::MEMORY_DIVISOR
        }
    }

    /// Returns the part of the budget that is kept for other instances.
    pub const fn peer_budget_bytes(&self) -> u64 {
        const DIVISOR: u64 = 4;
        if self.peer_budget_bytes > 0 {
            self.peer_budget_bytes
        } else {
            self.budget_bytes() / DIVISOR
        }
    }

    /// Returns the largest message of another instance where callers send bodies up to a size.
    pub const fn peer_message_bytes(&self, max_body_bytes: u64) -> u64 {
        // A number such as 1e15 is four times as long where it is written again. The rest of a job's row is small.
        const GROWTH_FACTOR: u64 = 4;
        const ROW_BYTES: u64 = 1 << 20;
        if self.peer_message_bytes > 0 {
            self.peer_message_bytes
        } else {
            max_body_bytes * GROWTH_FACTOR + ROW_BYTES
        }
    }

    /// Returns the limit on open connections.
    pub const fn max_connections(&self) -> u64 {
        if self.max_connections > 0 {
            self.max_connections
        } else {
            self.max_fds.saturating_sub(self.reserved_fds)
        }
    }
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            memory_mb: 120,
            max_fds: 3_075,
            reserved_fds: 1_024,
            budget_bytes: 0,
            peer_budget_bytes: 0,
            peer_message_bytes: 0,
            max_peer_connections: 128,
            max_connections: 0,
            header_bytes: 16_384,
            header_timeout_ms: 3_000,
            body_timeout_ms: 30_000,
            body_min_bytes_per_s: 4_096,
            idle_timeout_ms: 30_000,
            write_timeout_ms: 10_000,
            linger_timeout_ms: 1_000,
            linger_bytes: 262_144,
        }
    }
}
