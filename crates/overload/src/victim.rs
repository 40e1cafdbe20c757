/// Run, or gang of runs, that could be stopped for urgent work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Victim {
    /// Work that is lost if it is stopped, in core-milliseconds.
    pub unsaved_core_ms: u64,
    /// Expected work of the whole run, in core-milliseconds.
    pub work_core_ms: u64,
    /// Expected end of its job if it goes on.
    pub end_ms: u64,
    /// Expected end of its job if it is stopped and starts again at once.
    pub restarted_end_ms: u64,
    /// Time by which its job is in time.
    pub objective_end_ms: u64,
    /// Time after which completing its job has no further value.
    pub late_end_ms: u64,
}

/// Returns what stopping a victim costs, in core-milliseconds: the unsaved work, and the work of the whole run for each
/// limit, objective and late limit, that its job meets only if the run goes on.
pub const fn victim_cost(victim: &Victim) -> u64 {
    let mut cost = victim.unsaved_core_ms;
    if victim.end_ms <= victim.objective_end_ms && victim.restarted_end_ms > victim.objective_end_ms {
        cost += victim.work_core_ms;
    }
    if victim.end_ms <= victim.late_end_ms && victim.restarted_end_ms > victim.late_end_ms {
        cost += victim.work_core_ms;
    }
    cost
}
