/// Age of what a feed of the store delivers; starts wait while it is too old.
#[derive(Debug)]
pub(super) struct Freshness {
    name: &'static str,
    age_max_ms: u64,
    /// Time up to which all changes are known.
    as_of_ms: u64,
    is_logged_stale: bool,
}

impl Freshness {
    pub const fn new(name: &'static str, age_max_ms: u64) -> Self {
        Self {
            name,
            age_max_ms,
            as_of_ms: 0,
            is_logged_stale: false,
        }
    }

    /// Takes note that all changes up to `as_of_ms` are known; returns whether starts waited for that.
    pub fn confirm(&mut self, as_of_ms: u64) -> bool {
        self.as_of_ms = self.as_of_ms.max(as_of_ms);
        self.is_logged_stale
    }

    /// Returns the age if it is too high for starts.
    pub fn stale_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = now_ms.saturating_sub(self.as_of_ms);
        (age_ms > self.age_max_ms).then_some(age_ms)
    }

    /// Returns a log line if the feed has become too old for starts, or new enough, since the last call.
    pub fn log_line(&mut self, now_ms: u64) -> Option<String> {
        let (name, stale_ms) = (self.name, self.stale_ms(now_ms));
        if stale_ms.is_some() == self.is_logged_stale {
            return None;
        }
        self.is_logged_stale = stale_ms.is_some();
        Some(stale_ms.map_or_else(
            || format!("{name}_current"),
            |age_ms| format!("{name}_stale age_ms={age_ms}"),
        ))
    }
}
