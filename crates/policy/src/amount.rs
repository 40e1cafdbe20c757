use std::ops::{Add, AddAssign, Sub, SubAssign};

use model::Resources;

/// Signed amount of each resource, so that capacity can be allocated before its previous user has released it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Amount {
    pub slots: i32,
    pub accelerators: i32,
    pub cpu_milli: i64,
    pub memory_mib: i64,
}

impl Amount {
    pub const fn times(self, count: u16) -> Self {
        Self {
            slots: self.slots * count as i32,
            accelerators: self.accelerators * count as i32,
            cpu_milli: self.cpu_milli * count as i64,
            memory_mib: self.memory_mib * count as i64,
        }
    }

    pub const fn fits(self, need: Self) -> bool {
        self.slots >= need.slots
            && self.accelerators >= need.accelerators
            && self.cpu_milli >= need.cpu_milli
            && self.memory_mib >= need.memory_mib
    }

    pub const fn is_overdrawn(self) -> bool {
        self.slots < 0 || self.accelerators < 0 || self.cpu_milli < 0 || self.memory_mib < 0
    }

    pub fn min(self, other: Self) -> Self {
        Self {
            slots: self.slots.min(other.slots),
            accelerators: self.accelerators.min(other.accelerators),
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
        }
    }

    /// Returns how many times `need` fits; 0 if a component is negative.
    pub fn count_of(self, need: Self) -> u16 {
        if self.is_overdrawn() {
            return 0;
        }
        let times = |have: i64, want: i64| have.checked_div(want).unwrap_or(i64::MAX);
        times(self.slots.into(), need.slots.into())
            .min(times(self.accelerators.into(), need.accelerators.into()))
            .min(times(self.cpu_milli, need.cpu_milli))
            .min(times(self.memory_mib, need.memory_mib))
            .min(u16::MAX.into()) as u16
    }

    /// Returns the largest ratio of a component to the same component of `total`.
    pub fn dominant_share(self, total: Self) -> f64 {
        shares::largest_ratio([
            (self.slots.into(), total.slots.into()),
            (self.accelerators.into(), total.accelerators.into()),
            (self.cpu_milli as f64, total.cpu_milli as f64),
            (self.memory_mib as f64, total.memory_mib as f64),
        ])
    }
}

impl From<Resources> for Amount {
    fn from(resources: Resources) -> Self {
        Self {
            slots: resources.slots.into(),
            accelerators: resources.accelerators.into(),
            cpu_milli: resources.cpu_milli.into(),
            memory_mib: resources.memory_mib.into(),
        }
    }
}

impl From<Amount> for Resources {
    /// Converts the amount; negative components become 0.
    fn from(amount: Amount) -> Self {
        Self::new(
            amount.slots.max(0) as u16,
            amount.accelerators.max(0) as u16,
            amount.cpu_milli.max(0) as u32,
            amount.memory_mib.max(0) as u32,
        )
    }
}

impl Add for Amount {
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

impl Sub for Amount {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            slots: self.slots - other.slots,
            accelerators: self.accelerators - other.accelerators,
            cpu_milli: self.cpu_milli - other.cpu_milli,
            memory_mib: self.memory_mib - other.memory_mib,
        }
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
