use model::{Attempt, AttemptState, Charge, JobState};
use serde::Deserialize;

/// Audit trail of one invoice line: the job's attempts with their leases, and its charges.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Audit {
    /// State of the job.
    pub job: AuditedJob,
    /// Charges of the job in the ledger.
    pub charges: Vec<Charge>,
}

/// Part of a job's state that an audit needs.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct AuditedJob {
    /// State of the job.
    pub state: JobState,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
    /// Digest of the stored answer.
    #[serde(default)]
    pub answer_sha256: Option<String>,
}

impl Audit {
    /// Returns gaps and contradictions of the trail, one line each; none if the trail is complete.
    pub fn gaps(&self) -> Vec<String> {
        let mut gaps = Vec::new();
        if self.job.state == JobState::Finished && self.job.answer_sha256.is_none() {
            gaps.push("the job finished and no answer is stored".to_owned());
        }
        let finished = self
            .job
            .attempts
            .iter()
            .filter(|attempt| attempt.state == AttemptState::Finished);
        for attempt in finished {
            if !self.charges.iter().any(|charge| charge.attempt == attempt.number) {
                gaps.push(format!("attempt {} finished and has no charge", attempt.number));
            }
        }
        for attempt in self
            .job
            .attempts
            .iter()
            .filter(|attempt| attempt.state == AttemptState::Unknown)
        {
            gaps.push(format!("whether attempt {} ran is not known", attempt.number));
        }
        for charge in &self.charges {
            gaps.extend(self.gaps_of(charge));
        }
        if !self.job.idempotent && self.charges.len() > 1 {
            gaps.push(format!("a job that may run once has {} charges", self.charges.len()));
        }
        gaps
    }

    fn gaps_of(&self, charge: &Charge) -> Vec<String> {
        let mut gaps = Vec::new();
        let number = charge.attempt;
        match self.job.attempts.iter().find(|attempt| attempt.number == number) {
            None => gaps.push(format!("the charge of attempt {number} has no attempt record")),
            Some(attempt) => {
                let ran = |lease: &&(model::WorkerId, model::LeaseId)| {
                    attempt
                        .placement
                        .parts
                        .iter()
                        .any(|part| part.worker == lease.0 && part.lease == lease.1)
                };
                for (worker, lease) in charge.leases.iter().filter(|lease| !ran(lease)) {
                    gaps.push(format!(
                        "the charge of attempt {number} names lease {lease} on {worker}, which is not recorded"
                    ));
                }
            }
        }
        if !charge.confirmed {
            gaps.push(format!(
                "the charge of attempt {number} is not confirmed by a usage report"
            ));
        }
        gaps
    }
}
