use std::collections::{BTreeMap, HashMap, HashSet};

use compact_str::CompactString;

use super::Engine;
use crate::{Action, Machine, MachineState, MaintenanceReply, Wave, WaveProgress};

/// How far a machine of a wave is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waits.
    Waiting,
    /// Gets no new work, so that it empties.
    Cordoned,
    /// The order was sent; whether it is down is not known yet.
    Ordered { at_ms: u64 },
    /// Its upkeep began.
    Begun,
    /// It is up again, or gone for good.
    Done,
}

#[derive(Debug, Clone)]
struct OpenWave {
    wave: Wave,
    began_ms: u64,
    stages: BTreeMap<CompactString, Stage>,
    written: Option<WaveProgress>,
}

impl OpenWave {
    fn progress(&self) -> WaveProgress {
        if self.stages.values().all(|stage| *stage == Stage::Done) {
            WaveProgress::Done
        } else {
            WaveProgress::Running
        }
    }

    /// Machines that are down or may be.
    fn down(&self) -> usize {
        let is_down = |stage: &&Stage| matches!(stage, Stage::Ordered { .. } | Stage::Begun);
        self.stages.values().filter(is_down).count()
    }
}

/// Waves of upkeep and the list of machines.
#[derive(Debug, Clone, Default)]
pub(super) struct WaveState {
    waves: BTreeMap<u64, OpenWave>,
    machines: HashMap<CompactString, Machine>,
    cordoned_workers: HashSet<CompactString>,
    is_listing: bool,
    list_due_ms: u64,
}

impl WaveState {
    pub fn is_cordoned(&self, worker: &CompactString) -> bool {
        self.cordoned_workers.contains(worker)
    }

    pub fn unwritten(&self) -> Vec<(u64, WaveProgress)> {
        self.waves
            .iter()
            .filter(|(_, open)| open.written != Some(open.progress()))
            .map(|(number, open)| (*number, open.progress()))
            .collect()
    }

    pub fn written(&mut self, waves: &[(u64, WaveProgress)]) {
        for (number, progress) in waves {
            if let Some(open) = self.waves.get_mut(number) {
                open.written = Some(*progress);
            }
        }
    }
}

/// Upkeep of machines in waves.
impl Engine {
    /// Interval of reading the list of machines while a wave is open.
    const LIST_MACHINES_MS: u64 = 1_000;

    /// Part of a machine's share of the wave's time in which it may empty before it is taken down with its work.
    const EMPTY_PART: f64 = 0.5;

    /// Time after which an upkeep order without reply is repeated; repeating it is safe.
    const UPKEEP_REPEAT_MS: u64 = 1_500;

    /// Takes a wave that operators ask for; `None` means that they withdrew it.
    pub fn set_wave(&mut self, number: u64, wave: Option<Wave>, now_ms: u64) {
        let Some(wave) = wave else {
            self.waves.waves.remove(&number);
            return;
        };
        if self.waves.waves.contains_key(&number) {
            return;
        }
        self.notes.push(format!(
            "wave_begins wave={number} machines={} within_ms={} most_down={}",
            wave.machines.len(),
            wave.within_ms,
            wave.most_down
        ));
        let stages = wave
            .machines
            .iter()
            .map(|name| (name.clone(), Stage::Waiting))
            .collect();
        let open = OpenWave {
            wave,
            began_ms: now_ms,
            stages,
            written: None,
        };
        self.waves.waves.insert(number, open);
        self.waves.list_due_ms = now_ms;
    }

    /// Takes the list of machines; `None` means that it could not be read.
    pub fn set_machines(&mut self, machines: Option<Vec<Machine>>, now_ms: u64) {
        self.waves.is_listing = false;
        self.waves.list_due_ms = now_ms + Self::LIST_MACHINES_MS;
        let Some(machines) = machines else { return };
        self.waves.machines = machines
            .into_iter()
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        let known = &self.waves.machines;
        for open in self.waves.waves.values_mut() {
            for (name, stage) in &mut open.stages {
                match known.get(name).map(|machine| machine.state) {
                    None => *stage = Stage::Done,
                    Some(MachineState::Maintenance) if *stage != Stage::Done => *stage = Stage::Begun,
                    Some(MachineState::Up) if *stage == Stage::Begun => *stage = Stage::Done,
                    Some(_) => {}
                }
            }
        }
    }

    /// Takes the reply to an upkeep order.
    pub fn upkeep_replied(&mut self, wave: u64, machine: &str, reply: MaintenanceReply, now_ms: u64) {
        self.notes
            .push(format!("upkeep_replied wave={wave} machine={machine} reply={reply:?}"));
        let worker = self.waves.machines.get(machine).map(|machine| machine.worker.clone());
        let Some(stage) = self
            .waves
            .waves
            .get_mut(&wave)
            .and_then(|open| open.stages.get_mut(machine))
        else {
            return;
        };
        *stage = match reply {
            MaintenanceReply::Begun => Stage::Begun,
            MaintenanceReply::NotInWave => Stage::Done,
            MaintenanceReply::Unanswered => Stage::Ordered { at_ms: now_ms },
            MaintenanceReply::Busy | MaintenanceReply::Fenced | MaintenanceReply::Refused => Stage::Cordoned,
        };
        if reply == MaintenanceReply::Begun
            && let Some(key) = worker.and_then(|id| self.worker_ids.get(&id).copied())
        {
            // Everything on it has ended with the order.
            self.worker_gone(key, now_ms);
        }
    }

    /// Empties machines of open waves and takes them down, as many at once as the wave allows.
    pub(super) fn proceed_with_waves(&mut self, now_ms: u64) {
        let is_open = self
            .waves
            .waves
            .values()
            .any(|open| open.progress() == WaveProgress::Running);
        if is_open && !self.waves.is_listing && now_ms >= self.waves.list_due_ms {
            self.waves.is_listing = true;
            self.actions.push(Action::ListMachines);
        }
        if !is_open || self.waves.machines.is_empty() {
            self.waves.cordoned_workers.clear();
            return;
        }
        let numbers: Vec<u64> = self.waves.waves.keys().copied().collect();
        for number in numbers {
            self.proceed_with_wave(number, now_ms);
        }
        let machines = &self.waves.machines;
        self.waves.cordoned_workers = self
            .waves
            .waves
            .values()
            .flat_map(|open| &open.stages)
            .filter(|(_, stage)| matches!(stage, Stage::Cordoned | Stage::Ordered { .. }))
            .filter_map(|(name, _)| Some(machines.get(name)?.worker.clone()))
            .collect();
    }

    fn proceed_with_wave(&mut self, number: u64, now_ms: u64) {
        let Some(mut open) = self.waves.waves.remove(&number) else {
            return;
        };
        let waiting: Vec<_> = open
            .stages
            .iter()
            .filter(|(_, stage)| matches!(stage, Stage::Waiting | Stage::Cordoned))
            .map(|(name, _)| name.clone())
            .collect();
        let mut room = open.wave.most_down.saturating_sub(open.down());
        // The emptiest machines first: their upkeep costs the least work.
        let mut order: Vec<_> = waiting.into_iter().map(|name| (self.work_on(&name), name)).collect();
        order.sort();
        let most = order.len().max(1) as u64;
        let elapsed_ms = now_ms.saturating_sub(open.began_ms);
        let left_ms = open.wave.within_ms.saturating_sub(elapsed_ms);
        let share_ms = left_ms * open.wave.most_down.max(1) as u64 / most;
        for (work, name) in order {
            if room == 0 {
                break;
            }
            room -= 1;
            let is_late = (share_ms as f64) < open.wave.within_ms as f64 / open.stages.len().max(1) as f64
                || elapsed_ms as f64 > open.wave.within_ms as f64 * Self::EMPTY_PART;
            let is_up = self
                .waves
                .machines
                .get(&name)
                .is_some_and(|machine| machine.state == MachineState::Up);
            if is_up && (work == 0 || (is_late && self.may_interrupt(&name))) {
                open.stages.insert(name.clone(), Stage::Ordered { at_ms: now_ms });
                self.actions.push(Action::StartMaintenance {
                    machine: name,
                    wave: number,
                });
            } else {
                open.stages.insert(name, Stage::Cordoned);
            }
        }
        for (name, stage) in &mut open.stages {
            if let Stage::Ordered { at_ms } = stage
                && now_ms > *at_ms + Self::UPKEEP_REPEAT_MS
            {
                *at_ms = now_ms;
                self.actions.push(Action::StartMaintenance {
                    machine: name.clone(),
                    wave: number,
                });
            }
        }
        self.waves.waves.insert(number, open);
    }

    fn runs_on(&self, machine: &str) -> Vec<super::keys::RunKey> {
        self.waves
            .machines
            .get(machine)
            .and_then(|machine| self.worker_ids.get(&machine.worker))
            .map(|key| self.workers[*key].runs.clone())
            .unwrap_or_default()
    }

    /// Returns the weight of the work on a machine.
    fn work_on(&self, machine: &str) -> u64 {
        let weight = |key: &super::keys::RunKey| self.runs[*key].need.weight_milli().max(1);
        self.runs_on(machine).iter().map(weight).sum()
    }

    /// Returns whether all tasks on a machine may be interrupted: none belongs to a step that would miss too many.
    fn may_interrupt(&self, machine: &str) -> bool {
        self.runs_on(machine).iter().all(|key| {
            let run = &self.runs[*key];
            let Some(shape) = self.shape_of(run) else { return true };
            let Some(state) = self.step_of(run) else { return true };
            let away = state.active.len() as u32 - state.active_count;
            shape.max_unavailable == 0 || away < shape.max_unavailable
        })
    }
}
