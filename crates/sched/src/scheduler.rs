use model::{DataCentreId, Epoch, InstanceId, JobId, WorkerId};
use policy::{Policy, Stats};

use crate::{Action, Input, Settings};

/// Scheduler of one data centre.
///
/// It follows until an election makes it the holder, and commands nothing before and after.
#[derive(Debug)]
pub struct Scheduler<P> {
    settings: Settings,
    policy: P,
    instance: InstanceId,
    data_centre: DataCentreId,
    workers: Vec<WorkerId>,
    epoch: Option<Epoch>,
}

impl<P: Policy> Scheduler<P> {
    /// Creates a scheduler that follows until it is elected.
    pub fn new(
        settings: Settings,
        policy: P,
        instance: InstanceId,
        data_centre: DataCentreId,
        workers: Vec<WorkerId>,
    ) -> Self {
        Self {
            settings,
            policy,
            instance,
            data_centre,
            workers,
            epoch: None,
        }
    }

    /// Returns the epoch under which the scheduler commands; `None` while it follows.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// Returns whether the job is in memory: queued, running, or not yet final in the table.
    pub fn knows(&self, _job: &JobId) -> bool {
        false
    }

    /// Returns the current figures of the policy.
    pub fn stats(&self) -> Stats {
        self.policy.stats()
    }

    /// Takes an input and appends what has to be done to `actions`.
    ///
    /// `now_ms` is a monotonic clock; `now_unix_ms` only enters records.
    pub fn handle(&mut self, _now_ms: u64, _now_unix_ms: u64, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Elected { epoch } => {
                self.epoch = Some(epoch);
                actions.extend(self.workers.iter().map(|worker| Action::Fence {
                    worker: worker.clone(),
                    epoch,
                }));
                actions.push(Action::ScanJobs);
            }
            Input::Deposed => self.epoch = None,
            Input::Stopping => actions.push(Action::HandedOver),
            _ => {}
        }
    }
}
