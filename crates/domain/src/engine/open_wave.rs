use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{MachineState, Wave, WaveFact, WaveProgress, WaveRow};

/// Stage of a machine in a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// No action has been taken yet.
    Waiting,
    /// Its worker gets no new work, so that it drains.
    Cordoned,
    /// The maintenance command is sent once its row is durable.
    Planned,
    /// The maintenance command was sent; whether the machine is down is not known yet.
    Commanded {
        sent_ms: u64,
        /// An earlier command has no reply and may still take effect.
        is_doubtful: bool,
    },
    /// The command was confirmed: the machine went down, or its maintenance was over before. Only a list of machines that
    /// was requested later tells which.
    Confirmed { at_ms: u64 },
    /// It is down.
    Down,
    /// It is up again, was permanently removed, or does not belong to the wave.
    Done,
}

/// Machine of a maintenance wave.
#[derive(Debug, Clone)]
pub(super) struct WaveMachine {
    pub stage: Stage,
    /// Worker that was on the machine when the command was sent.
    pub commanded_worker: CompactString,
    /// Durable fact about the machine.
    pub durable: Option<WaveFact>,
    /// Time before which a refused command is not sent again.
    pub refused_until_ms: u64,
}

impl WaveMachine {
    const fn waiting() -> Self {
        Self {
            stage: Stage::Waiting,
            commanded_worker: CompactString::const_new(""),
            durable: None,
            refused_until_ms: 0,
        }
    }

    /// Updates the stage from a list of machines that was requested at `requested_ms`; `state` is `None` if the machine
    /// has been removed.
    pub fn observe(&mut self, state: Option<MachineState>, requested_ms: u64) {
        let Some(state) = state else {
            self.stage = Stage::Done;
            return;
        };
        let is_newer_than_reply = match self.stage {
            Stage::Confirmed { at_ms } => requested_ms > at_ms,
            Stage::Down => true,
            _ => false,
        };
        if is_newer_than_reply {
            self.stage = if state == MachineState::Up {
                Stage::Done
            } else {
                Stage::Down
            };
        }
    }

    /// Returns the fact that a successor needs and that is not durable yet.
    fn unwritten_fact(&self) -> Option<WaveFact> {
        let fact = match self.stage {
            Stage::Planned => WaveFact::Commanded,
            Stage::Done => WaveFact::Maintained,
            _ => return None,
        };
        (self.durable != Some(fact)).then_some(fact)
    }
}

/// Maintenance wave that operators requested and did not withdraw.
#[derive(Debug, Clone)]
pub(super) struct OpenWave {
    pub wave: Wave,
    pub began_ms: u64,
    pub machines: BTreeMap<CompactString, WaveMachine>,
    /// Progress that operators see.
    pub published: Option<WaveProgress>,
    began_unix_ms: u64,
    is_begin_durable: bool,
}

impl OpenWave {
    pub fn new(wave: Wave, now_ms: u64, now_unix_ms: u64) -> Self {
        let machines = wave
            .machines
            .iter()
            .map(|name| (name.clone(), WaveMachine::waiting()))
            .collect();
        Self {
            wave,
            began_ms: now_ms,
            machines,
            published: None,
            began_unix_ms: now_unix_ms,
            is_begin_durable: false,
        }
    }

    /// Restores what a former scheduler made durable.
    pub fn recall(&mut self, row: &WaveRow, now_ms: u64, now_unix_ms: u64) {
        if let WaveFact::Began { unix_ms } = row.fact {
            // The bound limits the effect of a wrong clock.
            let elapsed_ms = now_unix_ms.saturating_sub(unix_ms).min(self.wave.within_ms);
            self.began_ms = now_ms.saturating_sub(elapsed_ms);
            self.began_unix_ms = unix_ms;
            self.is_begin_durable = true;
            return;
        }
        let Some(machine) = row.machine.as_ref().and_then(|name| self.machines.get_mut(name)) else {
            return;
        };
        machine.durable = Some(row.fact);
        machine.stage = match row.fact {
            WaveFact::Maintained => Stage::Done,
            _ => Stage::Commanded {
                sent_ms: 0,
                is_doubtful: true,
            },
        };
    }

    pub fn progress(&self) -> WaveProgress {
        if self.machines.values().all(|machine| machine.stage == Stage::Done) {
            WaveProgress::Done
        } else {
            WaveProgress::Running
        }
    }

    /// Returns the number of machines that are down or may be.
    pub fn down_count(&self) -> usize {
        let is_down = |machine: &&WaveMachine| !matches!(machine.stage, Stage::Waiting | Stage::Cordoned | Stage::Done);
        self.machines.values().filter(is_down).count()
    }

    /// Returns the facts that are not durable yet.
    pub fn unwritten_rows(&self) -> impl Iterator<Item = WaveRow> {
        let wave = self.wave.number;
        let begin = (!self.is_begin_durable).then_some(WaveRow {
            wave,
            machine: None,
            fact: WaveFact::Began {
                unix_ms: self.began_unix_ms,
            },
        });
        let of_machines = self.machines.iter().filter_map(move |(name, machine)| {
            Some(WaveRow {
                wave,
                machine: Some(name.clone()),
                fact: machine.unwritten_fact()?,
            })
        });
        begin.into_iter().chain(of_machines)
    }

    /// Takes note of a durable fact.
    pub fn row_written(&mut self, row: &WaveRow) {
        match &row.machine {
            None => self.is_begin_durable = true,
            Some(name) => {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.durable = Some(row.fact);
                }
            }
        }
    }
}
