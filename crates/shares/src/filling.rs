use crate::{Amounts, Entry};

/// Progressive filling: capacity goes to the organisation with the lowest weighted dominant share, until it has no more
/// work or no longer the lowest share.
#[derive(Debug, Clone, Default)]
pub struct Filling {
    capacity: Amounts,
    entries: Vec<Entry>,
}

impl Filling {
    /// Creates the filling of a capacity, of which the organisations use what their entries say.
    pub const fn new(capacity: Amounts, entries: Vec<Entry>) -> Self {
        Self { capacity, entries }
    }

    /// Returns the weighted dominant share of an organisation, given by its index.
    pub fn share(&self, index: usize) -> f64 {
        self.entries
            .get(index)
            .map_or(0.0, |entry| entry.dominant_share(&self.capacity))
    }

    /// Returns which of the given organisations gets capacity next: the one with the lowest share, the first of equal ones.
    pub fn next(&self, waiting: impl IntoIterator<Item = usize>) -> Option<usize> {
        waiting
            .into_iter()
            .map(|index| (self.share(index), index))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, index)| index)
    }

    /// Adds capacity that an organisation gets.
    pub fn add(&mut self, index: usize, amounts: &Amounts) {
        if let Some(entry) = self.entries.get_mut(index) {
            entry.usage = entry.usage.plus(amounts);
        }
    }
}
