use std::collections::BTreeMap;
use std::fmt;

use model::JobId;

use crate::{JobKind, Tally};

/// Result of a load run.
#[derive(Debug, Default)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Statistics by kind of job.
    pub tallies: BTreeMap<JobKind, Tally>,
    /// Parts of each gang that was submitted.
    pub parts: BTreeMap<JobId, u16>,
    /// Jobs without a final outcome, with the last state that was reported.
    pub missing: Vec<(JobId, String)>,
    /// Answers that were incomplete or belonged to another request.
    pub wrong: Vec<(JobId, String)>,
    /// Non-idempotent jobs that were started in more than one attempt, and tasks that were started twice.
    pub doubled: Vec<String>,
    /// Jobs that were reported as `did_not_run` although a worker had started them.
    pub false_refusals: Vec<JobId>,
    /// Requests that got no reply; the caller sent them again under the same id.
    pub interrupted: u64,
    /// Jobs that ran per second before, during and after the absence of a data centre.
    pub ran_per_s: Vec<(&'static str, f64)>,
}

impl Report {
    /// Returns whether no answer was missing, wrong, duplicate or falsely refused.
    pub fn passed(&self) -> bool {
        self.missing.is_empty() && self.wrong.is_empty() && self.doubled.is_empty() && self.false_refusals.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(
            f,
            "{:<12} {:>9} {:>7} {:>7} {:>8} {:>9} {:>9} {:>9}",
            "kind", "submitted", "ran", "failed", "refused", "p50 ms", "p99 ms", "p99.9 ms"
        )?;
        for (kind, tally) in &self.tallies {
            let quantile = |q| tally.completion_ms.value_at_quantile(q);
            let refused: u64 = tally.refused.values().sum();
            writeln!(
                f,
                "{kind:<12} {:>9} {:>7} {:>7} {refused:>8} {:>9} {:>9} {:>9}",
                tally.submitted,
                tally.ran,
                tally.failed,
                quantile(0.5),
                quantile(0.99),
                quantile(0.999)
            )?;
        }
        for (kind, tally) in &self.tallies {
            for (code, count) in &tally.refused {
                writeln!(f, "refused {kind}: {code} {count}")?;
            }
        }
        for (phase, rate) in &self.ran_per_s {
            writeln!(f, "work done {phase}: {rate:.1} jobs/s")?;
        }
        writeln!(f, "requests without a reply: {}", self.interrupted)?;
        for (job, last) in &self.missing {
            writeln!(f, "MISSING {job}: {last}")?;
        }
        for (job, message) in &self.wrong {
            writeln!(f, "WRONG ANSWER {job}: {message}")?;
        }
        for text in &self.doubled {
            writeln!(f, "DOUBLED {text}")?;
        }
        for job in &self.false_refusals {
            writeln!(f, "FALSE REFUSAL {job}")?;
        }
        write!(
            f,
            "answers missing {}, wrong {}, doubled {}, falsely refused {}: {}",
            self.missing.len(),
            self.wrong.len(),
            self.doubled.len(),
            self.false_refusals.len(),
            if self.passed() { "passed" } else { "FAILED" }
        )
    }
}
