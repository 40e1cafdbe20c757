use crate::{Amounts, Excess, Resource};

/// Organisation as far as its share is concerned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Entry {
    /// Weight of its share; 0 means 1.
    pub weight: u64,
    /// Accelerators that are guaranteed to its urgent work.
    pub guaranteed_accelerators: u64,
    /// Maximum that it may have running; an amount of 0 means no limit.
    pub maximum: Amounts,
    /// What it has running.
    pub usage: Amounts,
}

impl Entry {
    /// Returns whether any resource is limited.
    pub const fn is_limited(&self) -> bool {
        !self.maximum.is_zero()
    }

    /// Returns the resource that keeps `amounts` from being added; `None` if they may be added.
    ///
    /// Usage above the maximum admits nothing, not even work that needs none of the exceeded resource: a maximum that was
    /// lowered starts nothing until usage fits again.
    pub fn excess_with(&self, amounts: &Amounts) -> Option<Excess> {
        let of_each = [
            (
                Resource::Cpu,
                self.usage.cpu_milli,
                amounts.cpu_milli,
                self.maximum.cpu_milli,
            ),
            (
                Resource::Memory,
                self.usage.memory_mib,
                amounts.memory_mib,
                self.maximum.memory_mib,
            ),
            (
                Resource::Accelerators,
                self.usage.accelerators,
                amounts.accelerators,
                self.maximum.accelerators,
            ),
        ];
        of_each
            .into_iter()
            .find(|(_, in_use, more, limit)| *limit > 0 && in_use.saturating_add(*more) > *limit)
            .map(|(resource, in_use, _, limit)| Excess {
                resource,
                in_use,
                limit,
            })
    }

    /// Returns how many times `need` may be added; `u64::MAX` without a limit.
    pub fn room_for(&self, need: &Amounts) -> u64 {
        if self.excess_with(&Amounts::default()).is_some() {
            return 0;
        }
        let times = |in_use: u64, need: u64, limit: u64| {
            if limit == 0 {
                u64::MAX
            } else {
                limit.saturating_sub(in_use).checked_div(need).unwrap_or(u64::MAX)
            }
        };
        times(self.usage.cpu_milli, need.cpu_milli, self.maximum.cpu_milli)
            .min(times(self.usage.memory_mib, need.memory_mib, self.maximum.memory_mib))
            .min(times(
                self.usage.accelerators,
                need.accelerators,
                self.maximum.accelerators,
            ))
    }

    /// Returns the resource of which `amounts` alone exceed the maximum, so that they can never run.
    pub fn excess_alone(&self, amounts: &Amounts) -> Option<Excess> {
        let unused = Self {
            usage: Amounts::default(),
            ..*self
        };
        unused.excess_with(amounts)
    }

    /// Returns the largest ratio of usage to capacity, divided by the weight.
    pub fn dominant_share(&self, capacity: &Amounts) -> f64 {
        self.usage.dominant_share(capacity) / self.weight.max(1) as f64
    }
}
