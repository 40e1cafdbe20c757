//! Pseudo-random numbers (xorshift).

use std::sync::Mutex;

pub struct Random(Mutex<u64>);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1))
    }

    /// Returns a number from 0 up to but excluding `end`.
    pub fn below(&self, end: u64) -> u64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) % end.max(1)
    }
}
