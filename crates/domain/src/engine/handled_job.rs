use compact_str::CompactString;

use super::Engine;
use super::keys::{JobKey, RunKey};
use crate::TaskName;

/// What the scheduler handles at the moment, where that belongs to one job.
#[derive(Debug, Clone, Copy, Default)]
pub(super) enum Handled {
    #[default]
    Nothing,
    Job(JobKey),
    Run(RunKey),
}

/// The job that is handled at the moment.
impl Engine {
    /// Marks the beginning of a step that belongs to no job so far.
    pub fn begin_step(&mut self) {
        self.handled = Handled::Nothing;
    }

    /// Returns the id of the job that is handled at the moment: after a panic, the one in whose handling it occurred.
    pub fn handled_job(&self) -> Option<CompactString> {
        match self.handled {
            Handled::Nothing => None,
            Handled::Job(key) => Some(self.jobs.get(key)?.spec.id.clone()),
            Handled::Run(key) => {
                let name: TaskName = self.runs.get(key)?.id.task.parse().ok()?;
                Some(name.job)
            }
        }
    }
}
