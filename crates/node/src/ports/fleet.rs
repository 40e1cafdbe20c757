use compact_str::CompactString;
use domain::{Machine, MaintenanceReply};

/// Workers' machines and the placement service.
#[expect(async_fn_in_trait, reason = "futures stay on the thread of the instance")]
pub trait Fleet: 'static {
    /// Reads the list of machines; returns `None` if it cannot be read.
    async fn machines(&self) -> Option<Vec<Machine>>;

    /// Takes a machine down for maintenance in a wave, on behalf of the lease holder of an epoch.
    async fn start_maintenance(&self, machine: &str, wave: u64, holder: &str, epoch: u64) -> MaintenanceReply;

    /// Requests placement hints: the workers that may run a step, with their tickets. Returns `None` without a reply.
    async fn placement_hints(
        &self,
        step: &str,
        workers: &[CompactString],
    ) -> Option<Vec<(CompactString, CompactString)>>;
}
