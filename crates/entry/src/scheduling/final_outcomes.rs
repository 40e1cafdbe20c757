use std::collections::{HashMap, VecDeque};

use model::{JobId, Outcome};

/// Bounded cache of the final outcomes of recent jobs, for callers that ask shortly after a job ended.
#[derive(Debug, Default)]
pub(super) struct FinalOutcomes {
    outcomes: HashMap<JobId, Outcome>,
    order: VecDeque<JobId>,
    bytes: usize,
}

impl FinalOutcomes {
    const MAX_OUTCOMES: usize = 4_096;
    const MAX_BYTES: usize = 8 << 20;

    pub(super) fn get(&self, job: &JobId) -> Option<&Outcome> {
        self.outcomes.get(job)
    }

    pub(super) fn insert(&mut self, job: JobId, outcome: Outcome) {
        self.bytes += size_bytes(&outcome);
        match self.outcomes.insert(job.clone(), outcome) {
            Some(replaced) => self.bytes -= size_bytes(&replaced),
            None => self.order.push_back(job),
        }
        while self.order.len() > Self::MAX_OUTCOMES || self.bytes > Self::MAX_BYTES {
            let Some(oldest) = self.order.pop_front() else { break };
            if let Some(outcome) = self.outcomes.remove(&oldest) {
                self.bytes -= size_bytes(&outcome);
            }
        }
    }

    /// Removes a job that was submitted again.
    pub(super) fn remove(&mut self, job: &JobId) {
        if let Some(outcome) = self.outcomes.remove(job) {
            self.bytes -= size_bytes(&outcome);
            self.order.retain(|other| other != job);
        }
    }
}

const fn size_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Ran { answer } => answer.body.len(),
        Outcome::Failed { message } => message.len(),
        _ => 0,
    }
}
