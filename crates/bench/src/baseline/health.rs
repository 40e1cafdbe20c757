use std::collections::VecDeque;

/// Recent task results of a worker, for the quarantine rule of the design document.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// Job, organisation and whether the task failed.
    last: VecDeque<(u64, usize, bool)>,
    /// Time from which the quarantined worker may be probed; `None` if it is not in quarantine.
    pub(crate) quarantined_until_ms: Option<u64>,
}

impl Health {
    const WINDOW: usize = 10;
    /// Interval between probes of a worker in quarantine.
    pub(crate) const PROBE_INTERVAL_MS: u64 = 30_000;

    /// Records a result and returns whether the worker has to be quarantined.
    pub(crate) fn record(&mut self, job: u64, organisation: usize, failed: bool) -> bool {
        if self.quarantined_until_ms.is_some() && !failed {
            self.last.clear();
        }
        if self.last.len() == Self::WINDOW {
            self.last.pop_front();
        }
        self.last.push_back((job, organisation, failed));
        self.is_failing()
    }

    fn is_failing(&self) -> bool {
        let failures: Vec<_> = self.last.iter().filter(|entry| entry.2).collect();
        let mut jobs: Vec<_> = failures.iter().map(|entry| entry.0).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let several = failures.iter().any(|entry| entry.1 != failures[0].1);
        let enough = if several { jobs.len() >= 3 } else { jobs.len() >= 5 };
        enough && failures.len() * 10 > self.last.len() * 8
    }
}
