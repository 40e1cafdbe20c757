use std::collections::{BTreeMap, HashMap, HashSet};

use compact_str::CompactString;

use super::Engine;
use crate::{Action, Machine, MachineState, MaintenanceReply, Wave, WaveProgress};

/// Stage of a machine in a maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No action has been taken yet.
    Waiting,
    /// Its worker gets no new work, so that it drains.
    Cordoned,
    /// The maintenance command was sent; whether the machine is down is not known yet.
    Commanded { at_ms: u64 },
    /// Its maintenance has begun.
    Begun,
    /// It is up again, was permanently removed, or does not belong to the wave.
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

    /// Returns the number of machines that are down or may be.
    fn down_count(&self) -> usize {
        let is_down = |stage: &&Stage| matches!(stage, Stage::Commanded { .. } | Stage::Begun);
        self.stages.values().filter(is_down).count()
    }
}

/// Maintenance waves and the list of machines.
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

/// Maintenance of machines in waves.
impl Engine {
    /// Interval between reads of the list of machines while a wave is open.
    const MACHINE_LIST_INTERVAL_MS: u64 = 1_000;

    /// Share of the wave's time after which machines may be taken down together with their work.
    const DRAIN_SHARE: f64 = 0.5;

    /// Time after which an unanswered maintenance command is repeated; the command is idempotent.
    const MAINTENANCE_REPEAT_MS: u64 = 1_500;

    /// Opens a wave that operators requested; `None` means that they withdrew it.
    pub fn set_wave(&mut self, number: u64, wave: Option<Wave>, now_ms: u64) {
        let Some(wave) = wave else {
            self.waves.waves.remove(&number);
            return;
        };
        if self.waves.waves.contains_key(&number) {
            return;
        }
        self.log_lines.push(format!(
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

    /// Updates the list of machines; `None` means that it could not be read.
    pub fn set_machines(&mut self, machines: Option<Vec<Machine>>, now_ms: u64) {
        self.waves.is_listing = false;
        self.waves.list_due_ms = now_ms + Self::MACHINE_LIST_INTERVAL_MS;
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

    /// Handles the reply to a maintenance command.
    pub fn maintenance_replied(&mut self, wave: u64, machine: &str, reply: MaintenanceReply, now_ms: u64) {
        self.log_lines
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
            MaintenanceReply::Unanswered => Stage::Commanded { at_ms: now_ms },
            MaintenanceReply::Busy | MaintenanceReply::Fenced | MaintenanceReply::Refused => Stage::Cordoned,
        };
        if reply == MaintenanceReply::Begun
            && let Some(key) = worker.and_then(|id| self.worker_ids.get(&id).copied())
        {
            // All its runs ended when the machine was taken down.
            self.worker_exited(key, now_ms);
        }
    }

    /// Drains machines of open waves and takes them down, as many at once as the wave allows.
    pub(super) fn advance_waves(&mut self, now_ms: u64) {
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
            self.advance_wave(number, now_ms);
        }
        let machines = &self.waves.machines;
        self.waves.cordoned_workers = self
            .waves
            .waves
            .values()
            .flat_map(|open| &open.stages)
            .filter(|(_, stage)| matches!(stage, Stage::Cordoned | Stage::Commanded { .. }))
            .filter_map(|(name, _)| Some(machines.get(name)?.worker.clone()))
            .collect();
    }

    fn advance_wave(&mut self, number: u64, now_ms: u64) {
        let Some(mut open) = self.waves.waves.remove(&number) else {
            return;
        };
        let waiting: Vec<_> = open
            .stages
            .iter()
            .filter(|(_, stage)| matches!(stage, Stage::Waiting | Stage::Cordoned))
            .map(|(name, _)| name.clone())
            .collect();
        let mut allowance = open.wave.most_down.saturating_sub(open.down_count());
        // The least loaded machines first: their maintenance interrupts the least work.
        let mut order: Vec<_> = waiting
            .into_iter()
            .map(|name| (self.work_weight_on(&name), name))
            .collect();
        order.sort();
        let waiting_count = order.len().max(1) as u64;
        let elapsed_ms = now_ms.saturating_sub(open.began_ms);
        let remaining_ms = open.wave.within_ms.saturating_sub(elapsed_ms);
        let share_ms = remaining_ms * open.wave.most_down.max(1) as u64 / waiting_count;
        for (work, name) in order {
            if allowance == 0 {
                break;
            }
            allowance -= 1;
            let is_late = (share_ms as f64) < open.wave.within_ms as f64 / open.stages.len().max(1) as f64
                || elapsed_ms as f64 > open.wave.within_ms as f64 * Self::DRAIN_SHARE;
            let is_up = self
                .waves
                .machines
                .get(&name)
                .is_some_and(|machine| machine.state == MachineState::Up);
            if is_up && (work == 0 || (is_late && self.may_interrupt(&name))) {
                open.stages.insert(name.clone(), Stage::Commanded { at_ms: now_ms });
                self.actions.push(Action::StartMaintenance {
                    machine: name,
                    wave: number,
                });
            } else {
                open.stages.insert(name, Stage::Cordoned);
            }
        }
        for (name, stage) in &mut open.stages {
            if let Stage::Commanded { at_ms } = stage
                && now_ms > *at_ms + Self::MAINTENANCE_REPEAT_MS
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

    /// Returns the total resource weight of the runs on a machine.
    fn work_weight_on(&self, machine: &str) -> u64 {
        let weight = |key: &super::keys::RunKey| self.runs[*key].need.weight_milli().max(1);
        self.runs_on(machine).iter().map(weight).sum()
    }

    /// Returns whether all tasks on a machine may be interrupted: none belongs to a step that already has as many tasks
    /// unavailable as it allows.
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
