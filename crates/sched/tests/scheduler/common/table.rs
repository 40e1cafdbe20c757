use std::collections::BTreeMap;

use model::{Answer, Charge, JobId, JobRow};
use sched::WriteOutcome;

use super::Defect;

/// Job table with compare-and-set, and the object store for answers.
#[derive(Debug, Clone, Default)]
pub struct Table {
    pub rows: BTreeMap<JobId, (JobRow, u64)>,
    /// Each row before its last change, for stale reads.
    pub previous: BTreeMap<JobId, (JobRow, u64)>,
    pub charges: BTreeMap<String, Charge>,
    pub answers: BTreeMap<JobId, Answer>,
    pub defect: Option<Defect>,
    pub next_version: u64,
}

impl Table {
    /// Writes a row with its answer and charge if the row has the expected version; 0 means that it is absent.
    pub fn commit(
        &mut self,
        row: &JobRow,
        expected_version: u64,
        answer: Option<&Answer>,
        charge: Option<&Charge>,
    ) -> WriteOutcome {
        let id = row.id();
        let current = self.rows.get(&id);
        if current.map_or(0, |(_, version)| *version) != expected_version {
            let current = current.map(|(row, version)| (Box::new(row.clone()), *version));
            return WriteOutcome::Conflict { current };
        }
        self.next_version += 1;
        let version = self.next_version;
        if let Some(answer) = answer {
            self.answers.insert(id.clone(), answer.clone());
        }
        if let Some(charge) = charge {
            let mut charge = charge.clone();
            if self.defect == Some(Defect::ChargesUnknownLease) {
                charge.leases[0].1.sequence += 1_000;
            }
            self.charges.insert(charge.key(), charge);
        }
        let is_lost = self.defect == Some(Defect::LosesRows) && row.state.is_final();
        if let Some(old) = self.rows.get(&id).cloned() {
            self.previous.insert(id.clone(), old);
        }
        if !is_lost {
            self.rows.insert(id, (row.clone(), version));
        }
        WriteOutcome::Done { version }
    }

    /// Returns the rows of unfinished jobs of `dc1`, either current or as they were before their last change.
    pub fn scan(&self, is_stale: bool) -> Vec<(JobRow, u64)> {
        let read = |(id, current)| {
            if is_stale {
                self.previous.get(id).unwrap_or(current)
            } else {
                current
            }
        };
        let rows = self.rows.iter().map(read);
        rows.filter(|(row, _)| !row.state.is_final() && row.data_centre.as_str() == "dc1")
            .cloned()
            .collect()
    }
}
