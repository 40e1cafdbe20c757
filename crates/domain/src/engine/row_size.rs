use super::Engine;
use super::keys::JobKey;
use crate::CommitRow;

/// Progress rows that fit into the store, which refuses the whole write for one that does not.
impl Engine {
    /// Returns the row of a job. A row that is too large leaves out what a successor can do without; a job whose progress
    /// does not fit even so fails, since an end of its runs could never be acknowledged.
    pub(super) fn commit_row(&mut self, key: JobKey, now_ms: u64) -> CommitRow {
        let bytes_max = self.limits.value_bytes_max;
        let mut row = self.full_row(key);
        if row.progress.bytes() > bytes_max {
            row.progress.group_crashes();
        }
        let full_bytes = row.progress.bytes();
        let is_reduced = full_bytes > bytes_max;
        if is_reduced && !self.jobs[key].is_row_reduced {
            self.log_lines
                .push(format!("checkpoints_left_out job={} bytes={full_bytes}", row.job));
        }
        self.jobs[key].is_row_reduced = is_reduced;
        if !is_reduced {
            return row;
        }
        row.progress.drop_checkpoints();
        if row.progress.bytes() > bytes_max {
            row.progress.drop_trials();
        }
        let bytes = row.progress.bytes();
        if bytes <= bytes_max {
            return row;
        }
        self.log_lines
            .push(format!("progress_too_large job={} bytes={bytes}", row.job));
        self.stats.unstorable_jobs += 1;
        self.fail_job(key, now_ms);
        self.full_row(key)
    }

    fn full_row(&self, key: JobKey) -> CommitRow {
        let job = &self.jobs[key];
        let records = &job.records[..job.records.len().min(Self::RECORDS_PER_ROW)];
        CommitRow {
            job: job.spec.id.clone(),
            expected_version: job.version,
            progress: job.progress(),
            records: (!records.is_empty()).then(|| (job.record_rows, records.to_vec())),
        }
    }
}
