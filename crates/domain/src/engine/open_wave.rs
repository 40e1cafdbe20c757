use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{MachineState, Wave, WaveProgress};

/// Stage of a machine in a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// No action has been taken yet.
    Waiting,
    /// Its worker gets no new work, so that it drains.
    Cordoned,
    /// The maintenance command is about to be sent.
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
    /// Time before which a refused command is not sent again.
    pub refused_until_ms: u64,
}

impl WaveMachine {
    const fn waiting() -> Self {
        Self {
            stage: Stage::Waiting,
            commanded_worker: CompactString::const_new(""),
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
}

/// Maintenance wave that operators requested and did not withdraw.
#[derive(Debug, Clone)]
pub(super) struct OpenWave {
    pub wave: Wave,
    pub began_ms: u64,
    pub machines: BTreeMap<CompactString, WaveMachine>,
    /// Progress that operators see.
    pub published: Option<WaveProgress>,
}

impl OpenWave {
    pub fn new(wave: Wave, now_ms: u64) -> Self {
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
        }
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
}
