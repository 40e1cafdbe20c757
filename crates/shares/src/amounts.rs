/// Amounts of the three resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amounts {
    /// CPU in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Amounts {
    /// Returns the sum; each amount saturates.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference; each amount saturates at zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the amounts multiplied; each saturates.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns whether each amount is at most that of `other`.
    pub const fn fits(&self, other: &Self) -> bool {
        self.cpu_milli <= other.cpu_milli
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// Returns whether all amounts are zero.
    pub const fn is_zero(&self) -> bool {
        self.cpu_milli == 0 && self.memory_mib == 0 && self.accelerators == 0
    }

    /// Returns the largest ratio of an amount to the same amount of `capacity`; resources without capacity do not count.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        largest_ratio([
            (self.cpu_milli as f64, capacity.cpu_milli as f64),
            (self.memory_mib as f64, capacity.memory_mib as f64),
            (self.accelerators as f64, capacity.accelerators as f64),
        ])
    }
}

/// Returns the largest ratio of a part to its whole; pairs whose whole is not positive do not count.
pub fn largest_ratio(pairs: impl IntoIterator<Item = (f64, f64)>) -> f64 {
    pairs
        .into_iter()
        .filter(|(_, whole)| *whole > 0.0)
        .map(|(part, whole)| part / whole)
        .fold(0.0, f64::max)
}
