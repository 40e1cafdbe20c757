use super::*;

/// Checks that orders leave enough tasks of a step at work.
impl Simulation {
    /// Checks an order that ends runs of a worker, in this sequence.
    pub(super) fn check_availability(&mut self, id: &CompactString, ended: &[domain::TaskRun]) {
        for (position, task_run) in ended.iter().enumerate() {
            let Ok(name) = task_run.task.parse::<TaskName>() else {
                continue;
            };
            let stored = &self.store[&name.job];
            let shape = &stored.job.steps[name.step as usize];
            let is_at_work = self.workers[id].is_at_work(task_run);
            if shape.max_unavailable == 0 || stored.is_cancelled || !is_at_work {
                continue;
            }
            let ended_before = &ended[..position];
            let others = (0..shape.count).filter(|index| *index != name.index);
            let away = others.filter(|index| {
                let task = TaskName {
                    index: *index,
                    ..name.clone()
                };
                !self.is_at_work(&task, ended_before)
            });
            let away = away.count();
            if away >= shape.max_unavailable as usize {
                let text = format!("{} ms: {} is ended beside {away} others", self.now_ms, task_run.task);
                self.violations.push(text);
            }
        }
    }

    fn is_at_work(&self, task: &TaskName, ended: &[domain::TaskRun]) -> bool {
        let task = task.to_string();
        self.workers.values().any(|worker| {
            let mut runs = worker.runs.iter();
            runs.any(|run| {
                run.task_run.task == task && worker.is_at_work(&run.task_run) && !ended.contains(&run.task_run)
            })
        })
    }
}
