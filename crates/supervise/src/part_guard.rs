use crate::Supervisor;

/// Reports the end of a part when it is dropped, also while a panic unwinds.
#[derive(Debug)]
pub struct PartGuard {
    supervisor: Supervisor,
    part: &'static str,
    is_complete: bool,
}

impl PartGuard {
    pub(crate) const fn new(supervisor: Supervisor, part: &'static str) -> Self {
        Self {
            supervisor,
            part,
            is_complete: false,
        }
    }

    /// Drops the guard without a report.
    pub(crate) fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for PartGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.supervisor.report(self.part);
        }
    }
}
