use super::*;

/// Passage of time.
impl Simulation {
    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += Self::STEP_MS;
            self.step();
        }
    }

    /// Runs until the condition holds; fails the test after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let begin_ms = self.now_ms;
        while !condition(self) {
            assert!(
                self.now_ms < begin_ms + limit_ms,
                "condition not met within {limit_ms} ms; violations {:?}\n{}",
                self.violations,
                self.log_lines.join("\n")
            );
            self.run_for(Self::STEP_MS);
        }
        self.now_ms - begin_ms
    }

    pub fn assert_no_violations(&self) {
        assert!(
            self.violations.is_empty(),
            "{:?}\n{}",
            self.violations,
            self.log_lines.join("\n")
        );
    }
}
