use std::collections::{HashMap, VecDeque};

use model::{JobId, Outcome};

/// Final outcomes of recent jobs, bounded in number and size, for callers that ask just after the end.
#[derive(Debug, Default)]
pub(super) struct Finals {
    outcomes: HashMap<JobId, Outcome>,
    order: VecDeque<JobId>,
    bytes: usize,
}

impl Finals {
    const MAX_OUTCOMES: usize = 4_096;
    const MAX_BYTES: usize = 8 << 20;

    pub(super) fn get(&self, job: &JobId) -> Option<&Outcome> {
        self.outcomes.get(job)
    }

    pub(super) fn insert(&mut self, job: JobId, outcome: Outcome) {
        self.bytes += size_bytes(&outcome);
        match self.outcomes.insert(job.clone(), outcome) {
            Some(former) => self.bytes -= size_bytes(&former),
            None => self.order.push_back(job),
        }
        while self.order.len() > Self::MAX_OUTCOMES || self.bytes > Self::MAX_BYTES {
            let Some(oldest) = self.order.pop_front() else { break };
            if let Some(outcome) = self.outcomes.remove(&oldest) {
                self.bytes -= size_bytes(&outcome);
            }
        }
    }

    /// Forgets a job, because it was submitted again.
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
