use super::*;

/// Checks of the durable run records.
impl Simulation {
    /// Returns the durable run records of a job without duplicates; a reported end replaces an assumed one.
    pub fn records_of(&self, job: &str) -> Vec<RunRecord> {
        let mut all: Vec<RunRecord> = Vec::new();
        for record in self
            .records
            .iter()
            .filter(|((id, _, _), _)| id == job)
            .flat_map(|(_, row)| row)
        {
            let is_same = |other: &RunRecord| {
                (other.occurrence, other.step, other.index, other.run)
                    == (record.occurrence, record.step, record.index, record.run)
            };
            match all.iter_mut().find(|other| is_same(other)) {
                Some(known) if known.is_assumed => *known = record.clone(),
                Some(_) => {}
                None => all.push(record.clone()),
            }
        }
        all
    }

    /// Checks that each task that is done has a record of a run that completed it.
    pub(super) fn check_records(&mut self, job: &str) {
        let stored = &self.store[job];
        let records = self.records_of(job);
        let done: Vec<_> = records.iter().filter(|record| record.how == EndKind::Done).collect();
        let mut first_task = 0;
        for (number, step) in stored.job.steps.iter().enumerate() {
            let of_step = |record: &&&RunRecord| record.step as usize == number;
            for index in 0..step.count {
                let has_bit = |occurrence| {
                    let first_of_occurrence = stored.job.first_task_number(occurrence);
                    (stored.progress.done).contains(first_of_occurrence + first_task + index as usize)
                };
                let is_shown = stored.progress.state == JobState::Done
                    || (0..stored.job.occurrences()).any(has_bit)
                    || stored.progress.steps.values().any(|steps| {
                        steps
                            .get(&(number as u32))
                            .is_some_and(|progress| progress.done.contains(&index))
                    });
                let runs = done
                    .iter()
                    .filter(of_step)
                    .filter(|record| step.is_gang || record.index == index);
                if is_shown && runs.count() == 0 {
                    self.violations
                        .push(format!("{job}: step {number} task {index} is done without a record"));
                }
            }
            first_task += step.count as usize;
        }
    }
}
