use std::mem;

use domain::{Action, MaintenanceReply, Wave, WaveFact, WaveRow};

use super::*;

/// Faults of the machine management interface, and what it saw.
#[derive(Debug, Default)]
pub struct Maintenance {
    /// Durable facts about waves.
    pub rows: BTreeMap<(u64, Option<CompactString>), WaveFact>,
    /// Commands that it received, by wave and machine.
    pub commands: Vec<(u64, CompactString)>,
    /// Number of next commands whose replies are lost after they took effect.
    pub lose_replies: u32,
    /// Commands take effect after this time, and their replies are lost.
    pub command_delay_ms: Option<u64>,
    /// Whether lists of machines cannot be read.
    pub are_lists_unreadable: bool,
    /// Time that a list of machines is under way.
    pub list_delay_ms: u64,
    waves: BTreeMap<u64, Wave>,
    delayed_commands: Vec<(u64, u64, CompactString)>,
    delayed_lists: Vec<(u64, Vec<Machine>)>,
}

/// Maintenance of machines.
impl Simulation {
    /// Requests a wave; it stays requested over takeovers.
    pub fn request_wave(&mut self, wave: Wave) {
        self.maintenance.waves.insert(wave.number, wave.clone());
        self.engine.set_wave(wave.number, Some(wave), self.now_ms, self.now_ms);
    }

    /// Returns the number of machines whose maintenance for a wave is over or under way.
    pub fn maintained(&self, wave: u64) -> usize {
        let is_maintained = |worker: &&FakeWorker| worker.maintained_in.contains(&wave);
        self.workers.values().filter(is_maintained).count()
    }

    /// Passes the requested waves and what is durable about them to a new engine.
    pub(super) fn recall_waves(&mut self) {
        for wave in self.maintenance.waves.values() {
            self.engine
                .set_wave(wave.number, Some(wave.clone()), self.now_ms, self.now_ms);
        }
        let rows = self.maintenance.rows.iter();
        let rows = rows.map(|((wave, machine), fact)| WaveRow {
            wave: *wave,
            machine: machine.clone(),
            fact: *fact,
        });
        self.engine.add_wave_rows(rows.collect(), self.now_ms, self.now_ms);
        self.maintenance.delayed_lists.clear();
    }

    pub(super) fn apply_maintenance_action(&mut self, action: Action) {
        match action {
            Action::ListMachines if self.maintenance.are_lists_unreadable => {
                self.engine.set_machines(None, self.now_ms);
            }
            Action::ListMachines if self.maintenance.list_delay_ms > 0 => {
                let at_ms = self.now_ms + self.maintenance.list_delay_ms;
                self.maintenance.delayed_lists.push((at_ms, self.machines()));
            }
            Action::ListMachines => self.engine.set_machines(Some(self.machines()), self.now_ms),
            Action::StartMaintenance { machine, wave } => {
                self.maintenance.commands.push((wave, machine.clone()));
                let reply = if let Some(delay_ms) = self.maintenance.command_delay_ms {
                    let at_ms = self.now_ms + delay_ms;
                    self.maintenance.delayed_commands.push((at_ms, wave, machine.clone()));
                    MaintenanceReply::Unanswered
                } else {
                    let reply = self.take_down(wave, &machine);
                    if self.maintenance.lose_replies > 0 {
                        self.maintenance.lose_replies -= 1;
                        MaintenanceReply::Unanswered
                    } else {
                        reply
                    }
                };
                self.engine.maintenance_replied(wave, &machine, reply, self.now_ms);
            }
            _ => unreachable!("the other actions are handled elsewhere"),
        }
    }

    pub(super) fn advance_maintenance(&mut self) {
        let now_ms = self.now_ms;
        let due = |at_ms: u64| at_ms <= now_ms;
        let commands: Vec<_> = (self.maintenance.delayed_commands)
            .extract_if(.., |(at_ms, ..)| due(*at_ms))
            .collect();
        for (_, wave, machine) in commands {
            self.take_down(wave, &machine);
        }
        let lists = mem::take(&mut self.maintenance.delayed_lists);
        let (lists, later) = lists.into_iter().partition(|(at_ms, _)| due(*at_ms));
        self.maintenance.delayed_lists = later;
        let lists: Vec<(u64, Vec<Machine>)> = lists;
        for (_, machines) in lists {
            self.engine.set_machines(Some(machines), now_ms);
        }
    }

    fn machines(&self) -> Vec<Machine> {
        let machines = self.workers.values().map(|worker| Machine {
            name: format!("m-{}", worker.machine).into(),
            state: if worker.is_in_maintenance {
                MachineState::Maintenance
            } else {
                MachineState::Up
            },
            worker: worker.id.clone(),
        });
        machines.collect()
    }

    /// Carries out a maintenance command.
    fn take_down(&mut self, wave: u64, machine: &str) -> MaintenanceReply {
        let down = self.workers.values().filter(|worker| worker.is_in_maintenance).count();
        let is_named = |worker: &&mut FakeWorker| machine == format!("m-{}", worker.machine);
        let Some(worker) = self.workers.values_mut().find(is_named) else {
            return MaintenanceReply::NotInWave;
        };
        if worker.is_in_maintenance {
            return MaintenanceReply::Busy;
        }
        if worker.maintained_in.contains(&wave) {
            return MaintenanceReply::Confirmed;
        }
        self.most_down = self.most_down.max(down + 1);
        let id = worker.id.clone();
        let ended: Vec<_> = worker.runs.iter().map(|run| run.task_run.clone()).collect();
        self.interrupted_runs += ended.len();
        self.check_availability(&id, &ended);
        let worker = self.workers.get_mut(&id).expect("the worker was found before");
        worker.begin_maintenance(self.now_ms);
        worker.maintained_in.push(wave);
        self.engine.unlist_worker(&worker.id.clone(), self.now_ms);
        MaintenanceReply::Confirmed
    }
}
