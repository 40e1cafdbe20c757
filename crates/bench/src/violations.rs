/// Decisions of a policy that break an invariant; every count must be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Violations {
    /// Attempts that ran with some but not exactly all parts.
    pub partial_gangs: u64,
    /// Accepted jobs that had not ended at the end of the run.
    pub lost_jobs: u64,
    /// Starts on resources that were not free.
    pub overcommitted: u64,
    /// Starts on workers that do not meet the requested adjacency.
    pub not_adjacent: u64,
    /// Starts in a data centre out of service.
    pub started_while_out: u64,
    /// Starts on a worker that the policy was told is down.
    pub started_on_down: u64,
    /// Starts, refusals or failures of a job that was not waiting.
    pub not_waiting: u64,
    /// Preemptions of jobs that are neither idempotent nor checkpointable.
    pub unsafe_preemptions: u64,
    /// Refusals as never fitting of jobs that fit, and acceptances of jobs that never fit.
    pub wrong_admissions: u64,
}

impl Violations {
    /// Returns the names and counts.
    pub const fn entries(&self) -> [(&'static str, u64); 9] {
        [
            ("partial gangs", self.partial_gangs),
            ("lost jobs", self.lost_jobs),
            ("overcommitted", self.overcommitted),
            ("not adjacent", self.not_adjacent),
            ("started while out", self.started_while_out),
            ("started on down worker", self.started_on_down),
            ("decision for job not waiting", self.not_waiting),
            ("unsafe preemptions", self.unsafe_preemptions),
            ("wrong admissions", self.wrong_admissions),
        ]
    }
}

impl std::ops::AddAssign for Violations {
    fn add_assign(&mut self, other: Self) {
        self.partial_gangs += other.partial_gangs;
        self.lost_jobs += other.lost_jobs;
        self.overcommitted += other.overcommitted;
        self.not_adjacent += other.not_adjacent;
        self.started_while_out += other.started_while_out;
        self.started_on_down += other.started_on_down;
        self.not_waiting += other.not_waiting;
        self.unsafe_preemptions += other.unsafe_preemptions;
        self.wrong_admissions += other.wrong_admissions;
    }
}
