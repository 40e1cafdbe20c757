use domain::SpeedRow;

use super::*;

/// Rows with the speeds of workers in the fake store.
#[derive(Debug, Default)]
pub struct StoredSpeeds {
    pub rows: BTreeMap<u32, Vec<u8>>,
    /// When rows were written, how many at once, and whether the commit was made for them alone.
    pub writes: Vec<SpeedWrite>,
    /// Whether the store refuses commits with such rows.
    pub are_refused: bool,
    /// Number of refused commits.
    pub refusals: u32,
    /// Number of next commits with such rows whose replies are lost after they took effect.
    pub lose_replies: u32,
}

/// Write of rows with the speeds of workers.
#[derive(Debug, Clone, Copy)]
pub struct SpeedWrite {
    pub at_ms: u64,
    pub rows: usize,
    pub is_alone: bool,
}

/// Speeds of workers in the store.
impl Simulation {
    pub(super) fn write_speeds(&mut self, commit: &Commit) {
        if commit.speed_rows.is_empty() {
            return;
        }
        for row in &commit.speed_rows {
            self.speeds.rows.insert(row.number, row.encode());
        }
        let others = Commit {
            speed_rows: Vec::new(),
            ..commit.clone()
        };
        self.speeds.writes.push(SpeedWrite {
            at_ms: self.now_ms,
            rows: commit.speed_rows.len(),
            is_alone: others == Commit::default(),
        });
    }

    /// Passes the stored rows that can be read to a new engine.
    pub(super) fn recall_speeds(&mut self) {
        let rows = self.speeds.rows.iter();
        let readable = rows.filter_map(|(number, value)| SpeedRow::decode(*number, value).ok());
        self.engine.add_speed_rows(readable.collect());
    }
}
