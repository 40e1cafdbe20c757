use std::collections::{BTreeMap, HashMap, HashSet};

use compact_str::CompactString;

use super::Engine;
use super::open_wave::{OpenWave, Stage, WaveMachine};
use crate::{Action, Machine, MachineState, MaintenanceReply, Wave, WaveProgress, WaveRow};

/// Maintenance waves and the list of machines.
#[derive(Debug, Clone, Default)]
pub(super) struct WaveState {
    waves: BTreeMap<u64, OpenWave>,
    machines: HashMap<CompactString, Machine>,
    cordoned_workers: HashSet<CompactString>,
    /// Rows that former schedulers wrote.
    former_rows: Vec<WaveRow>,
    /// When the list of machines that is being read was requested.
    list_requested_ms: Option<u64>,
    list_due_ms: u64,
}

impl WaveState {
    pub fn is_cordoned(&self, worker: &CompactString) -> bool {
        self.cordoned_workers.contains(worker)
    }

    /// Returns the progress of waves that operators do not see yet.
    pub fn unpublished(&self) -> Vec<(u64, WaveProgress)> {
        self.waves
            .iter()
            .filter(|(_, open)| open.published != Some(open.progress()))
            .map(|(number, open)| (*number, open.progress()))
            .collect()
    }

    /// Returns at most `most` facts that are not durable yet.
    pub fn unwritten_rows(&self, most: usize) -> Vec<WaveRow> {
        self.waves
            .values()
            .flat_map(OpenWave::unwritten_rows)
            .take(most)
            .collect()
    }

    /// Returns the workers whose machines are down or may go down by commands, other than one machine.
    pub fn workers_going_down(&self, except: &str) -> HashSet<&CompactString> {
        let machines = self.waves.values().flat_map(|open| &open.machines);
        let ending = machines.filter(|(name, machine)| {
            *name != except && !matches!(machine.stage, Stage::Waiting | Stage::Cordoned | Stage::Done)
        });
        let workers = ending.flat_map(|(name, machine)| {
            let is_seen_down = matches!(machine.stage, Stage::Confirmed { .. } | Stage::Down);
            let listed = self.machines.get(name).filter(|_| !is_seen_down);
            [Some(&machine.commanded_worker), listed.map(|listed| &listed.worker)]
        });
        workers.flatten().collect()
    }

    fn machine_mut(&mut self, wave: u64, machine: &str) -> Option<&mut WaveMachine> {
        self.waves.get_mut(&wave)?.machines.get_mut(machine)
    }
}

/// Maintenance of machines in waves.
impl Engine {
    /// Interval between reads of the list of machines while a wave is open.
    const MACHINE_LIST_INTERVAL_MS: u64 = 1_000;

    /// Share of the wave's time after which machines may be taken down together with their work.
    const DRAIN_SHARE: f64 = 0.5;

    /// Time after which a maintenance command is repeated that was refused or not answered; the command is idempotent.
    const MAINTENANCE_REPEAT_MS: u64 = 1_500;

    /// Opens a wave that operators requested; `None` means that they withdrew it.
    pub fn set_wave(&mut self, number: u64, wave: Option<Wave>, now_ms: u64, now_unix_ms: u64) {
        let Some(wave) = wave else {
            self.waves.waves.remove(&number);
            return;
        };
        if self.waves.waves.contains_key(&number) {
            return;
        }
        let mut open = OpenWave::new(wave, now_ms, now_unix_ms);
        let former_rows = self.waves.former_rows.iter().filter(|row| row.wave == number);
        former_rows.for_each(|row| open.recall(row, now_ms, now_unix_ms));
        self.log_wave(&open, now_ms);
        self.waves.waves.insert(number, open);
        self.waves.list_due_ms = now_ms;
    }

    /// Adds the rows about maintenance waves that former schedulers wrote. Call it before the scheduler is loaded.
    pub fn add_wave_rows(&mut self, rows: Vec<WaveRow>, now_ms: u64, now_unix_ms: u64) {
        for row in &rows {
            if let Some(open) = self.waves.waves.get_mut(&row.wave) {
                open.recall(row, now_ms, now_unix_ms);
            }
        }
        if !rows.is_empty() {
            self.log_lines.push(format!("wave_rows_read rows={}", rows.len()));
        }
        self.waves.former_rows = rows;
    }

    fn log_wave(&mut self, open: &OpenWave, now_ms: u64) {
        let done = open.machines.values().filter(|machine| machine.stage == Stage::Done);
        self.log_lines.push(format!(
            "wave_begins wave={} machines={} within_ms={} most_down={} elapsed_ms={} done={}",
            open.wave.number,
            open.wave.machines.len(),
            open.wave.within_ms,
            open.wave.most_down,
            now_ms.saturating_sub(open.began_ms),
            done.count()
        ));
    }

    /// Updates the list of machines; `None` means that it could not be read.
    pub fn set_machines(&mut self, machines: Option<Vec<Machine>>, now_ms: u64) {
        let Some(requested_ms) = self.waves.list_requested_ms.take() else {
            return;
        };
        self.waves.list_due_ms = now_ms + Self::MACHINE_LIST_INTERVAL_MS;
        let Some(machines) = machines else { return };
        let known: HashMap<_, _> = machines
            .into_iter()
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        let mut ended_workers = Vec::new();
        for open in self.waves.waves.values_mut() {
            for (name, machine) in &mut open.machines {
                let listed = known.get(name);
                machine.observe(listed.map(|listed| listed.state), requested_ms);
                if let Stage::Confirmed { at_ms } = machine.stage {
                    // The next list tells whether the machine went down.
                    self.waves.list_due_ms = self.waves.list_due_ms.min(at_ms);
                }
                let is_gone = listed.is_some_and(|listed| match listed.state {
                    MachineState::Maintenance => machine.stage == Stage::Down,
                    MachineState::Up => !listed.worker.is_empty() && listed.worker != machine.commanded_worker,
                    MachineState::Moving | MachineState::Down => false,
                });
                if is_gone && !machine.commanded_worker.is_empty() {
                    ended_workers.push(machine.commanded_worker.clone());
                }
            }
        }
        self.waves.machines = known;
        for worker in ended_workers {
            self.worker_maintained(&worker, requested_ms, now_ms);
        }
    }

    /// Handles a worker whose machine went down for maintenance before `requested_ms`.
    fn worker_maintained(&mut self, worker: &CompactString, requested_ms: u64, now_ms: u64) {
        let Some(key) = self.worker_ids.get(worker).copied() else {
            return;
        };
        let has_unconfirmed_starts = |runs: &[super::keys::RunKey]| {
            let mut runs = runs.iter().map(|run| &self.runs[*run]);
            runs.any(|run| run.confirmed_ms.is_none())
        };
        let worker = &self.workers[key];
        // A worker that replied since, and a start that may still arrive, can belong to the next process of the machine
        // under the same id.
        if worker.last_reply_ms >= requested_ms || has_unconfirmed_starts(&worker.runs) {
            return;
        }
        self.workers[key].draining_since_ms.get_or_insert(now_ms);
        self.worker_exited(key, now_ms);
    }

    /// Handles the reply to a maintenance command.
    ///
    /// A confirmation does not show that anything on the machine has ended: it also answers a command for a machine whose
    /// maintenance was over before.
    pub fn maintenance_replied(&mut self, wave: u64, machine: &str, reply: MaintenanceReply, now_ms: u64) {
        self.log_lines
            .push(format!("upkeep_replied wave={wave} machine={machine} reply={reply:?}"));
        let Some(machine) = self.waves.machine_mut(wave, machine) else {
            return;
        };
        let Stage::Commanded { is_doubtful, .. } = machine.stage else {
            return;
        };
        machine.stage = match reply {
            MaintenanceReply::Confirmed => Stage::Confirmed { at_ms: now_ms },
            MaintenanceReply::NotInWave => Stage::Done,
            MaintenanceReply::Unanswered => Stage::Commanded {
                sent_ms: now_ms,
                is_doubtful: true,
            },
            MaintenanceReply::Busy | MaintenanceReply::Fenced | MaintenanceReply::Refused if is_doubtful => {
                Stage::Commanded {
                    sent_ms: now_ms,
                    is_doubtful,
                }
            }
            MaintenanceReply::Busy | MaintenanceReply::Fenced | MaintenanceReply::Refused => {
                machine.refused_until_ms = now_ms + Self::MAINTENANCE_REPEAT_MS;
                Stage::Cordoned
            }
        };
        if reply == MaintenanceReply::Confirmed {
            self.waves.list_due_ms = now_ms;
            self.is_schedule_due = true;
        }
    }

    /// Handles the confirmation that rows about waves are durable; the next pass sends the commands that waited for theirs.
    pub(super) fn wave_rows_written(&mut self, rows: &[WaveRow]) {
        for row in rows {
            if let Some(open) = self.waves.waves.get_mut(&row.wave) {
                open.row_written(row);
            }
        }
        self.is_schedule_due |= !rows.is_empty();
    }

    /// Takes note of the progress of waves that operators can see.
    pub(super) fn waves_published(&mut self, waves: &[(u64, WaveProgress)]) {
        for (number, progress) in waves {
            if let Some(open) = self.waves.waves.get_mut(number) {
                open.published = Some(*progress);
            }
        }
    }

    fn send_maintenance(&mut self, wave: u64, name: &CompactString, now_ms: u64) {
        let worker = self.waves.machines.get(name).map(|machine| machine.worker.clone());
        let Some(machine) = self.waves.machine_mut(wave, name) else {
            return;
        };
        let is_doubtful = matches!(machine.stage, Stage::Commanded { .. });
        machine.stage = Stage::Commanded {
            sent_ms: now_ms,
            is_doubtful,
        };
        if !is_doubtful || machine.commanded_worker.is_empty() {
            machine.commanded_worker = worker.unwrap_or_default();
        }
        self.actions.push(Action::StartMaintenance {
            machine: name.clone(),
            wave,
        });
    }

    /// Drains machines of open waves and takes them down, as many at once as the wave allows.
    pub(super) fn advance_waves(&mut self, now_ms: u64) {
        let is_open = self
            .waves
            .waves
            .values()
            .any(|open| open.progress() == WaveProgress::Running);
        if is_open && self.waves.list_requested_ms.is_none() && now_ms >= self.waves.list_due_ms {
            self.waves.list_requested_ms = Some(now_ms);
            self.actions.push(Action::ListMachines);
        }
        if !is_open || self.waves.machines.is_empty() {
            self.waves.cordoned_workers.clear();
            return;
        }
        let numbers: Vec<u64> = self.waves.waves.keys().copied().collect();
        for number in numbers {
            self.cordon_and_plan(number, now_ms);
            self.send_due_commands(number, now_ms);
        }
        let listed = &self.waves.machines;
        let mut cordoned_workers = HashSet::new();
        for (name, machine) in self.waves.waves.values().flat_map(|open| &open.machines) {
            if matches!(machine.stage, Stage::Waiting | Stage::Done) {
                continue;
            }
            if let Some(listed) = listed.get(name)
                && !matches!(machine.stage, Stage::Confirmed { .. } | Stage::Down)
            {
                cordoned_workers.insert(listed.worker.clone());
            }
            cordoned_workers.insert(machine.commanded_worker.clone());
        }
        self.waves.cordoned_workers = cordoned_workers;
    }

    /// Cordons as many machines of a wave as may be down at once, and plans the commands for those that may go down now.
    fn cordon_and_plan(&mut self, number: u64, now_ms: u64) {
        let Some(open) = self.waves.waves.get(&number) else {
            return;
        };
        // The least loaded machines first: their maintenance interrupts the least work.
        let mut order: Vec<_> = open
            .machines
            .iter()
            .filter(|(_, machine)| matches!(machine.stage, Stage::Waiting | Stage::Cordoned))
            .map(|(name, _)| (self.work_weight_on(name), name.clone()))
            .collect();
        order.sort();
        let within_ms = open.wave.within_ms;
        let waiting_count = order.len().max(1) as u64;
        let elapsed_ms = now_ms.saturating_sub(open.began_ms);
        let share_ms = within_ms.saturating_sub(elapsed_ms) * open.wave.most_down.max(1) as u64 / waiting_count;
        let is_late = (share_ms as f64) < within_ms as f64 / open.machines.len().max(1) as f64
            || elapsed_ms as f64 > within_ms as f64 * Self::DRAIN_SHARE;
        let allowance = open.wave.most_down.saturating_sub(open.down_count());
        for (work, name) in order.into_iter().take(allowance) {
            let is_up = (self.waves.machines.get(&name)).is_some_and(|machine| machine.state == MachineState::Up);
            let may_interrupt = work == 0 || (is_late && self.may_interrupt(&name));
            if is_up && is_late && !may_interrupt {
                self.move_off_shared_machine(&name, now_ms);
            }
            let may_go_down = is_up && may_interrupt;
            if let Some(machine) = self.waves.machine_mut(number, &name) {
                machine.stage = if may_go_down && now_ms >= machine.refused_until_ms {
                    Stage::Planned
                } else {
                    Stage::Cordoned
                };
            }
        }
    }

    /// Sends planned commands whose rows are durable, and repeats commands without a reply.
    fn send_due_commands(&mut self, number: u64, now_ms: u64) {
        let Some(open) = self.waves.waves.get(&number) else {
            return;
        };
        let due: Vec<_> = open
            .machines
            .iter()
            .filter(|(_, machine)| match machine.stage {
                Stage::Planned => machine.durable.is_some(),
                Stage::Commanded { sent_ms, .. } => now_ms > sent_ms + Self::MAINTENANCE_REPEAT_MS,
                _ => false,
            })
            .map(|(name, machine)| (name.clone(), machine.stage == Stage::Planned))
            .collect();
        for (name, is_planned) in due {
            // Since it was planned or sent before, other tasks may have become unavailable.
            if !self.may_interrupt(&name) {
                if !is_planned {
                    self.move_off_shared_machine(&name, now_ms);
                } else if let Some(machine) = self.waves.machine_mut(number, &name) {
                    machine.stage = Stage::Cordoned;
                }
                continue;
            }
            self.send_maintenance(number, &name, now_ms);
        }
    }

    pub(super) fn runs_on(&self, machine: &str) -> Vec<super::keys::RunKey> {
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
}
