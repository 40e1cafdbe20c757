use model::{Class, Config, Organisation};

/// Usage and limits of an organisation in a baseline; guarantee and quota are accelerator counts.
#[derive(Debug, Clone)]
pub(crate) struct Account {
    pub(crate) guaranteed: u32,
    pub(crate) quota: u32,
    pub(crate) queue_limit: u32,
    pub(crate) boost: [u8; 2],
    pub(crate) used: u32,
    pub(crate) queued: [u32; 2],
}

impl Account {
    pub(crate) fn new() -> Self {
        Self {
            guaranteed: 0,
            quota: 0,
            queue_limit: 0,
            boost: [0; 2],
            used: 0,
            queued: [0; 2],
        }
    }

    /// Sets guarantee, quota, queue limit and priority boosts from a configuration.
    pub(crate) fn configure(&mut self, config: &Config, organisation: &Organisation) {
        self.guaranteed = organisation
            .guarantees
            .iter()
            .map(|guarantee| guarantee.shape.accelerators() * u32::from(guarantee.count))
            .sum();
        self.quota = organisation.quota_accelerators.unwrap_or(u32::MAX);
        self.queue_limit = organisation.queue_limit;
        self.boost = [0; 2];
        for priority in &config.priorities {
            if priority.organisation == organisation.id {
                self.boost[Self::class_index(priority.class)] = priority.boost;
            }
        }
    }

    pub(crate) const fn class_index(class: Class) -> usize {
        match class {
            Class::Urgent => 0,
            Class::Deferred => 1,
        }
    }

    /// Returns whether the organisation stays within its guarantee with `accelerators` more in use.
    pub(crate) fn is_guaranteed(&self, accelerators: u32) -> bool {
        self.used + accelerators <= self.guaranteed
    }

    /// Returns the accelerators in use beyond the guarantee.
    pub(crate) fn borrowed(&self) -> u32 {
        self.used.saturating_sub(self.guaranteed)
    }
}
