use compact_str::CompactString;
use domain::{
    End, EndKind, EntryState, Rejection, Resources, RunningTask, StartOrder, Step, TaskRun, WorkerEntry, WorkerReport,
};

#[derive(Debug, Clone)]
pub struct FakeRun {
    pub what: TaskRun,
    pub need: Resources,
    pub work_ms: u64,
    pub done_ms: f64,
    pub saves: bool,
    pub stop_at_ms: Option<u64>,
    pub pace_percent: u32,
    pub target_ms: u64,
    pub is_filler: bool,
}

/// Worker that keeps the platform's rules for orders.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent of each other")]
pub struct FakeWorker {
    pub id: CompactString,
    pub rack: CompactString,
    pub runs: Vec<FakeRun>,
    pub ends: Vec<End>,
    pub is_listed: bool,
    pub is_silent: bool,
    pub is_draining: bool,
    /// All runs fail shortly after their start.
    pub fails_all: bool,
    /// Work stands still.
    pub hangs: bool,
    /// Rate of work.
    pub speed: f64,
    /// Real work of each task; `None` if it is as declared.
    pub real_work_ms: Option<u64>,
    pub machine: CompactString,
    pub is_in_upkeep: bool,
    pub had_upkeep: bool,
    upkeep_until_ms: u64,
    pub born_unix_ms: u64,
    pub lease_until_ms: u64,
    clock_ahead_ms: u64,
    fence: u64,
    ended: Vec<TaskRun>,
    next_end: u64,
    advanced_ms: u64,
}

impl FakeWorker {
    const LEASE_MAX_MS: u64 = 6_000;
    const STOP_MS: u64 = 100;

    pub fn new(id: CompactString, rack: CompactString) -> Self {
        Self {
            machine: id.clone(),
            is_in_upkeep: false,
            had_upkeep: false,
            real_work_ms: None,
            upkeep_until_ms: 0,
            id,
            rack,
            runs: Vec::new(),
            ends: Vec::new(),
            is_listed: true,
            is_silent: false,
            is_draining: false,
            fails_all: false,
            hangs: false,
            speed: 1.0,
            born_unix_ms: 1,
            lease_until_ms: 0,
            clock_ahead_ms: 77_000,
            fence: 0,
            ended: Vec::new(),
            next_end: 1,
            advanced_ms: 0,
        }
    }

    pub fn entry(&self) -> WorkerEntry {
        let mut entry = super::entry(&self.id, &self.rack, self.born_unix_ms);
        if self.is_draining {
            entry.state = EntryState::Draining { remaining_ms: 2_000 };
        }
        entry
    }

    /// Starts again under its id: everything is forgotten.
    pub fn restart(&mut self, now_ms: u64) {
        self.runs.clear();
        self.ends.clear();
        self.ended.clear();
        self.next_end = 1;
        self.fence = 0;
        self.lease_until_ms = 0;
        self.born_unix_ms = now_ms;
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.clock_ahead_ms
    }

    fn used(&self) -> Resources {
        self.runs
            .iter()
            .fold(Resources::default(), |sum, run| sum.plus(&run.need))
    }

    pub fn is_over_capacity(&self) -> bool {
        !self.used().fits(&self.entry().capacity)
    }

    pub fn start(&mut self, order: &StartOrder, step: &Step, epoch: u64, now_ms: u64) -> Result<(), Rejection> {
        if epoch < self.fence {
            return Err(Rejection::Fenced);
        }
        self.fence = epoch;
        if self.runs.iter().any(|run| run.what == order.what) {
            return Ok(());
        }
        let is_old = |other: &TaskRun| other.task == order.what.task && other.run >= order.what.run;
        if self.ended.iter().any(is_old) || self.runs.iter().any(|run| is_old(&run.what)) {
            return Err(Rejection::Old);
        }
        if order.lease_until_ms <= self.clock_ms(now_ms) {
            return Err(Rejection::Late);
        }
        self.extend(order.lease_until_ms, now_ms);
        // It does not guard its capacity; the check of the world finds a start too many.
        self.runs.push(FakeRun {
            what: order.what.clone(),
            need: step.charged(),
            work_ms: self.real_work_ms.unwrap_or(step.estimate_ms),
            done_ms: order
                .checkpoint
                .as_ref()
                .and_then(|saved| saved.parse().ok())
                .unwrap_or(0.0),
            saves: step.saves_checkpoints,
            stop_at_ms: None,
            pace_percent: 100,
            target_ms: step.target_ms,
            is_filler: step.is_filler,
        });
        Ok(())
    }

    pub fn stop(&mut self, what: &TaskRun, epoch: u64, now_ms: u64) -> bool {
        if self.is_silent || epoch < self.fence {
            return false;
        }
        self.fence = epoch;
        match self.runs.iter_mut().find(|run| run.what == *what) {
            Some(run) => run.stop_at_ms = run.stop_at_ms.or(Some(now_ms + Self::STOP_MS)),
            None => self.ended.push(what.clone()),
        }
        true
    }

    pub fn renew(&mut self, lease_until_ms: Option<u64>, noted: u64, epoch: u64, now_ms: u64) -> bool {
        if epoch < self.fence {
            return false;
        }
        self.fence = epoch;
        self.ends.retain(|end| end.number > noted);
        if let Some(until_ms) = lease_until_ms {
            self.extend(until_ms, now_ms);
        }
        true
    }

    fn extend(&mut self, until_ms: u64, now_ms: u64) {
        let longest_ms = self.clock_ms(now_ms) + Self::LEASE_MAX_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_ms));
    }

    pub fn report(&self, now_ms: u64) -> WorkerReport {
        WorkerReport {
            clock_ms: self.clock_ms(now_ms),
            born_unix_ms: Some(self.born_unix_ms),
            running: self
                .runs
                .iter()
                .map(|run| RunningTask {
                    task: run.what.task.clone(),
                    run: run.what.run,
                    checkpoint: Self::checkpoint(run),
                    percent: (run.done_ms * 100.0 / run.work_ms.max(1) as f64).floor(),
                    recent: self.recent(run),
                })
                .collect(),
            ends: self.ends.clone(),
        }
    }

    pub fn run_mut(&mut self, what: &TaskRun) -> Option<&mut FakeRun> {
        self.runs.iter_mut().find(|run| run.what == *what)
    }

    /// Tail of a serving task: each filler beside it adds to it by its share.
    fn recent(&self, run: &FakeRun) -> f64 {
        const OWN_MS: f64 = 20.0;
        const PER_FILLER_MS: f64 = 50.0;
        let fillers: f64 = self
            .runs
            .iter()
            .filter(|other| other.is_filler)
            .map(|other| f64::from(other.pace_percent) / 100.0)
            .sum();
        if run.target_ms > 0 {
            OWN_MS + PER_FILLER_MS * fillers
        } else {
            0.0
        }
    }

    pub fn begin_upkeep(&mut self, now_ms: u64) {
        const UPKEEP_MS: u64 = 2_000;
        self.restart(now_ms);
        self.is_in_upkeep = true;
        self.is_listed = false;
        self.is_silent = true;
        self.upkeep_until_ms = now_ms + UPKEEP_MS;
    }

    pub fn end_upkeep(&mut self, now_ms: u64) -> bool {
        if !self.is_in_upkeep || now_ms < self.upkeep_until_ms {
            return false;
        }
        self.is_in_upkeep = false;
        self.had_upkeep = true;
        self.is_listed = true;
        self.is_silent = false;
        self.born_unix_ms = now_ms;
        true
    }

    fn checkpoint(run: &FakeRun) -> Option<CompactString> {
        let is_worth = run.saves && run.done_ms >= 500.0;
        is_worth.then(|| format!("{}", (run.done_ms / 500.0).floor() * 500.0).into())
    }

    /// Lets work, stops and the lease proceed.
    pub fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.advanced_ms);
        self.advanced_ms = now_ms;
        if self.clock_ms(now_ms) > self.lease_until_ms {
            for run in std::mem::take(&mut self.runs) {
                self.end(&run, EndKind::Lapsed);
            }
            return;
        }
        for run in &mut self.runs {
            if !self.hangs {
                run.done_ms += elapsed_ms as f64 * self.speed * f64::from(run.pace_percent) / 100.0;
            }
        }
        let mut over = Vec::new();
        self.runs.retain(|run| {
            let kind = if run.stop_at_ms.is_some_and(|at| now_ms >= at) {
                Some(EndKind::Stopped)
            } else if self.fails_all && run.done_ms >= 50.0 {
                Some(EndKind::Failed)
            } else if run.done_ms >= run.work_ms as f64 {
                Some(EndKind::Done)
            } else {
                None
            };
            if let Some(kind) = kind {
                over.push((run.clone(), kind));
            }
            kind.is_none()
        });
        for (run, kind) in over {
            self.end(&run, kind);
        }
    }

    fn end(&mut self, run: &FakeRun, kind: EndKind) {
        self.ended.push(run.what.clone());
        self.ends.push(End {
            number: self.next_end,
            task: run.what.task.clone(),
            run: run.what.run,
            kind,
            checkpoint: Self::checkpoint(run),
        });
        self.next_end += 1;
    }
}
