use std::collections::BTreeSet;

use super::*;

/// How a crashed worker comes back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Return {
    /// A new process under the same id.
    #[default]
    SameId,
    /// A new process with another id at the same address.
    OtherId,
}

/// Tasks that crash the workers that start them, and what they did.
#[derive(Debug, Clone)]
pub struct Crashes {
    /// Names of the tasks.
    pub tasks: BTreeSet<CompactString>,
    /// Time from the start to the crash.
    pub delay_ms: u64,
    /// Time from the crash to the start of the new process.
    pub downtime_ms: u64,
    pub returns: Return,
    /// Whether the list of workers shows a new process only with the next refresh.
    pub is_entry_late: bool,
    /// Whether the replies to their start commands are lost.
    pub loses_start_replies: bool,
    /// Ids of processes that another one has replaced at their address.
    pub replaced: BTreeSet<CompactString>,
    /// Number of workers that crashed.
    pub count: u32,
    /// Number of times that workers started such a task, in contrast to the commands sent.
    pub started: BTreeMap<CompactString, usize>,
    /// Number of workers that crashed under a task.
    pub under: BTreeMap<CompactString, u32>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            tasks: BTreeSet::new(),
            delay_ms: Simulation::STEP_MS,
            downtime_ms: 3_000,
            returns: Return::SameId,
            is_entry_late: false,
            loses_start_replies: false,
            replaced: BTreeSet::new(),
            count: 0,
            started: BTreeMap::new(),
            under: BTreeMap::new(),
        }
    }
}

impl Crashes {
    /// Number of workers that have to crash under a task before its job may be given up.
    const TO_GIVE_UP: u32 = 2;

    fn count_runs(&mut self, worker: &FakeWorker) {
        for run in &worker.runs {
            *self.under.entry(run.task_run.task.clone()).or_default() += 1;
        }
    }

    /// Returns whether so many workers crashed under one task of a job that it may be given up.
    pub fn may_be_given_up(&self, job: &str) -> bool {
        let mut of_job = self.under.iter().filter(|(task, _)| task.starts_with(job));
        of_job.any(|(_, count)| *count >= Self::TO_GIVE_UP)
    }
}

/// Workers that crash and come back.
impl Simulation {
    /// Submits a job of which one task crashes the workers that start it; returns the names of job and task.
    pub fn submit_crashing(&mut self, job: Job, index: u32) -> (CompactString, CompactString) {
        let id = self.submit(job);
        let task: CompactString = format!("{id}.0.0.{index}").into();
        self.crashes.tasks.insert(task.clone());
        (id, task)
    }

    /// Returns the workers that run a task of the job.
    pub fn workers_of(&self, id: &str) -> Vec<CompactString> {
        let runs = |worker: &&FakeWorker| worker.runs.iter().any(|run| run.task_run.task.starts_with(id));
        self.workers
            .values()
            .filter(runs)
            .map(|worker| worker.id.clone())
            .collect()
    }

    /// Returns the worker that runs a task.
    pub fn worker_of_task(&self, task: &str) -> CompactString {
        let runs = |worker: &&FakeWorker| worker.runs.iter().any(|run| run.task_run.task == task);
        self.workers.values().find(runs).expect("the task runs").id.clone()
    }

    /// Returns how many start commands were sent for a task.
    pub fn starts_of(&self, task: &str) -> usize {
        self.starts.iter().filter(|(_, started, _)| started == task).count()
    }

    /// Lets a worker crash soon if it has started a task that crashes it; returns the outcome of the start command.
    pub(super) fn started(&mut self, id: &CompactString, task: &CompactString) -> StartOutcome {
        let crashes = &mut self.crashes;
        let Some(worker) = self.workers.get_mut(id).filter(|_| crashes.tasks.contains(task)) else {
            return StartOutcome::Started;
        };
        worker.crash_at_ms.get_or_insert(self.now_ms + crashes.delay_ms);
        *crashes.started.entry(task.clone()).or_default() += 1;
        if crashes.loses_start_replies {
            StartOutcome::Unanswered
        } else {
            StartOutcome::Started
        }
    }

    /// Sets the accelerators of a worker; its entry shows them at the next refresh.
    pub fn set_accelerators(&mut self, worker: &str, accelerators: u64) {
        let now_ms = self.now_ms;
        let worker = self.workers.get_mut(worker).expect("the worker exists");
        if accelerators < worker.capacity.accelerators {
            worker.shrunk_ms = Some(now_ms);
        }
        worker.capacity.accelerators = accelerators;
    }

    /// Restarts the process of a worker at once.
    pub fn restart(&mut self, id: &str) {
        let worker = self.workers.get_mut(id).expect("the worker exists");
        self.crashes.count_runs(worker);
        worker.restart(self.now_ms);
    }

    /// Removes the workers of a rack for good, with all that runs there.
    pub fn remove_rack(&mut self, rack: &str) {
        for (id, _) in self.workers.extract_if(.., |_, worker| worker.rack == rack) {
            self.engine.unlist_worker(&id, self.now_ms);
        }
    }

    /// Crashes a worker now.
    pub fn crash(&mut self, id: &str) {
        let worker = self.workers.get_mut(id).expect("the worker exists");
        worker.crash_at_ms = Some(self.now_ms);
    }

    /// Crashes the workers whose time has come and starts the new processes of those that crashed before.
    pub(super) fn advance_crashes(&mut self) {
        let now_ms = self.now_ms;
        let mut back = Vec::new();
        let mut broken = Vec::new();
        for worker in self.workers.values_mut() {
            if worker.crash_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                self.crashes.count_runs(worker);
                worker.crash(now_ms, self.crashes.downtime_ms);
                self.crashes.count += 1;
                // The connections of a crashed process break.
                let is_its = |renewal: &mut Renewal| renewal.id == worker.id;
                broken.extend(self.renewals.extract_if(.., is_its).map(|renewal| renewal.worker));
            }
            if worker.down_until_ms.is_some_and(|until_ms| until_ms <= now_ms) {
                worker.down_until_ms = None;
                worker.is_unresponsive = false;
                worker.process_started_unix_ms = now_ms;
                back.push(worker.id.clone());
            }
        }
        for worker in broken {
            self.engine.renew_failed(worker, now_ms);
        }
        for id in back {
            let mut worker = self.workers.remove(&id).expect("the id is that of an existing worker");
            if self.crashes.returns == Return::OtherId {
                self.crashes.replaced.insert(id.clone());
                worker.id = format!("{}-{now_ms}", worker.machine).into();
                self.engine.unlist_worker(&id, now_ms);
            }
            if !self.crashes.is_entry_late {
                self.engine.set_worker(worker.entry(), now_ms);
            }
            self.workers.insert(worker.id.clone(), worker);
        }
    }
}
