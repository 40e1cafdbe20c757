use super::SchedulerDriver;
use crate::ports::{Store, Workers};

/// Metrics of the scheduler.
impl<S: Store, W: Workers> SchedulerDriver<S, W> {
    pub(super) fn publish_stats(&self) {
        let stats = self.engine.stats();
        let set = |name: &str, value: u64| self.shared.metrics.set_scheduler(name, value);
        set("starts", stats.starts);
        set("rejected_starts", stats.rejected_starts);
        set("unanswered_starts", stats.unanswered_starts);
        set("stops", stats.stops);
        set("done", stats.done);
        set("failed", stats.failed);
        set("broken", stats.broken);
        set("lost_workers", stats.lost_workers);
        set("deferred_losses", stats.deferred_losses);
        set("lost_runs", stats.lost_runs);
        set("given_up_tasks", stats.given_up_tasks);
        set("unstorable_jobs", stats.unstorable_jobs);
        set("preempted", stats.preempted);
        set("overdue_starts", stats.overdue_starts);
        set("wasted_core_ms", stats.wasted_core_ms);
        set("running", stats.running);
        set("unsent_starts", stats.unsent_starts);
        set("workers", stats.workers);
        set("open_jobs", stats.open_jobs);
        set("given_up_jobs", self.given_up_jobs);
        set("waiting_steps", stats.waiting_steps);
        set("withheld_steps", stats.withheld_steps);
        set("longest_withheld_ms", stats.longest_withheld_ms);
        set("maximum_waits", stats.maximum_waits);
        for share in self.engine.organisation_shares() {
            self.shared.metrics.set_organisation(&share);
        }
        set("known_speeds", stats.known_speeds);
        set("lowest_speed_percent", stats.lowest_speed_percent);
        set("median_speed_percent", stats.median_speed_percent);
        set("highest_speed_percent", stats.highest_speed_percent);
        for (standing, name) in [
            "overload_aged_steps",
            "overload_in_time_steps",
            "overload_postponed_steps",
            "overload_late_steps",
            "overload_beyond_limit_steps",
        ]
        .into_iter()
        .enumerate()
        {
            set(name, stats.standings[standing]);
        }
        for (priority, name) in ["backlog_0_ms", "backlog_1_ms", "backlog_2_ms", "backlog_3_ms"]
            .into_iter()
            .enumerate()
        {
            set(name, stats.backlog_ms[priority]);
        }
    }
}
