use super::*;

/// Maxima of organisations, and a check of them that counts what is on the fake workers.
impl Simulation {
    pub(super) fn config(&self) -> Config {
        Config {
            version: self.config_version,
            organisations: self.organisations.clone(),
            routes: vec![Route {
                name: "route-advised".into(),
                hint_validity_ms: Some(3_000),
                ..Route::default()
            }],
            ..Config::default()
        }
    }

    /// Puts a changed list of organisations into force.
    pub fn configure(&mut self, organisations: Vec<Organisation>) {
        self.organisations = organisations;
        self.config_version += 1;
        let config = self.config();
        self.engine.set_config(config);
    }

    /// Returns what an organisation has on all workers, by the full declared resources of its tasks.
    pub fn usage_of(&self, organisation: &str) -> Resources {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|run| self.organisation_of(&run.task_run.task) == organisation)
            .fold(Resources::default(), |sum, run| sum.plus(&run.declared))
    }

    fn organisation_of(&self, task: &str) -> CompactString {
        let name: TaskName = task.parse().expect("the engine gave the name");
        let stored = self.store.get(&name.job);
        stored.map_or_else(CompactString::default, |stored| stored.job.organisation.clone())
    }

    /// Checks after a start that its organisation has no more than its maximum on the workers. Runs that were there when a
    /// maximum was lowered stay; only starts can violate it.
    pub(super) fn check_maximum(&mut self, task: &str) {
        let name = self.organisation_of(task);
        // Counting all runs after each of thousands of starts takes minutes, so it is left out where there is no maximum.
        let is_limited = |known: &&Organisation| known.name == name && known.maximum != Resources::default();
        let Some(organisation) = self.organisations.iter().find(is_limited) else {
            return;
        };
        let (used, maximum) = (self.usage_of(&name), organisation.maximum);
        let exceeds = |used: u64, limit: u64| limit > 0 && used > limit;
        if exceeds(used.cpu_milli, maximum.cpu_milli)
            || exceeds(used.memory_mib, maximum.memory_mib)
            || exceeds(used.accelerators, maximum.accelerators)
        {
            self.violations.push(format!(
                "{} ms: {task} brings {name} over its maximum: {used:?} of {maximum:?}",
                self.now_ms
            ));
        }
    }
}
