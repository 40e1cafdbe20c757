use compact_str::CompactString;
use domain::{Machine, MaintenanceReply};

/// Machines of the workers and the placement service.
#[expect(async_fn_in_trait, reason = "futures stay on the thread of the instance")]
pub trait Fleet: 'static {
    /// Reads the list of machines; `None` if it cannot be read.
    async fn machines(&self) -> Option<Vec<Machine>>;

    /// Takes a machine down for its upkeep in a wave, in the name of the holder of an epoch.
    async fn upkeep(&self, machine: &str, wave: u64, holder: &str, epoch: u64) -> MaintenanceReply;

    /// Asks which of the workers may run a step; returns them with their tickets, `None` without an answer.
    async fn advise(&self, step: &str, workers: &[CompactString]) -> Option<Vec<(CompactString, CompactString)>>;
}
