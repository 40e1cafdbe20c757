use serde::{Deserialize, Serialize};

/// Set of task numbers, stored as words of 64 bits so that its size has a bound whichever tasks it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskBits(Vec<u64>);

impl TaskBits {
    /// Adds a task number.
    pub fn insert(&mut self, number: usize) {
        let (word, bit) = Self::place_of(number);
        if word >= self.0.len() {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= bit;
    }

    /// Returns whether the set holds a task number.
    pub fn contains(&self, number: usize) -> bool {
        let (word, bit) = Self::place_of(number);
        self.0.get(word).is_some_and(|bits| bits & bit != 0)
    }

    /// Returns the task numbers in the set, in ascending order.
    pub fn numbers(&self) -> impl Iterator<Item = usize> + '_ {
        let numbers = 0..self.0.len() * u64::BITS as usize;
        numbers.filter(|number| self.contains(*number))
    }

    /// Returns whether the set holds no task.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    const fn place_of(number: usize) -> (usize, u64) {
        let word_bits = u64::BITS as usize;
        (number / word_bits, 1 << (number % word_bits))
    }
}
