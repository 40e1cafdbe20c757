use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// Amount of each resource: the capacity of a worker, or the need of one part of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Task slots; each part occupies one.
    pub slots: u16,
    /// Accelerators.
    pub accelerators: u16,
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

impl Resources {
    /// Creates an amount from its four components.
    pub const fn new(slots: u16, accelerators: u16, cpu_milli: u32, memory_mib: u32) -> Self {
        Self {
            slots,
            accelerators,
            cpu_milli,
            memory_mib,
        }
    }

    /// Returns whether `need` fits into this amount in every component.
    pub const fn fits(self, need: Self) -> bool {
        self.slots >= need.slots
            && self.accelerators >= need.accelerators
            && self.cpu_milli >= need.cpu_milli
            && self.memory_mib >= need.memory_mib
    }

    /// Returns how many times `need` fits into this amount.
    pub fn count_of(self, need: Self) -> u16 {
        let times = |available: u32, required: u32| available.checked_div(required).unwrap_or(u32::MAX);
        times(self.slots.into(), need.slots.into())
            .min(times(self.accelerators.into(), need.accelerators.into()))
            .min(times(self.cpu_milli, need.cpu_milli))
            .min(times(self.memory_mib, need.memory_mib))
            .min(u16::MAX.into()) as u16
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            slots: self.slots + other.slots,
            accelerators: self.accelerators + other.accelerators,
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mib: self.memory_mib + other.memory_mib,
        }
    }
}

impl Sub for Resources {
    type Output = Self;

    /// Subtracts each component.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if a component of `other` is larger; check with [`Resources::fits`] first.
    fn sub(self, other: Self) -> Self {
        Self {
            slots: self.slots - other.slots,
            accelerators: self.accelerators - other.accelerators,
            cpu_milli: self.cpu_milli - other.cpu_milli,
            memory_mib: self.memory_mib - other.memory_mib,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
