use std::pin::pin;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_rt::time::sleep;
use futures_util::future::{Either, pending, select};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::{Defect, EndedParts, PartGuard};

/// Starts the parts of a process and reports those that end.
#[derive(Debug, Clone)]
pub struct Supervisor {
    ended: UnboundedSender<&'static str>,
    defect: Option<Defect>,
}

impl Default for Supervisor {
    /// Returns a supervisor whose reports nobody receives.
    fn default() -> Self {
        Self::new().0
    }
}

impl Supervisor {
    /// Interval of checking whether an actor has ended.
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);

    /// Returns a supervisor and the receiver of its reports.
    pub fn new() -> (Self, EndedParts) {
        let (ended, receiver) = unbounded_channel();
        (Self { ended, defect: None }, EndedParts(receiver))
    }

    /// Sets a defect, for tests.
    #[must_use]
    pub fn with_defect(self, defect: Defect) -> Self {
        Self {
            defect: Some(defect),
            ..self
        }
    }

    /// Reports that a part has ended.
    pub fn report(&self, part: &'static str) {
        // Without a receiver, the process is ending already.
        let _ = self.ended.send(part);
    }

    /// Returns a guard that reports the end of a part when it is dropped.
    pub fn guard(&self, part: &'static str) -> PartGuard {
        PartGuard::new(self.clone(), part)
    }

    /// Runs a part that must not end. Its end is reported, whether it returns, panics or is dropped.
    pub fn run<F: Future<Output = ()>>(&self, part: &'static str, future: F) -> impl Future<Output = ()> + use<F> {
        let guard = self.guard(part);
        let defect = self.defect.clone();
        async move {
            let _guard = guard;
            // Which of both completes makes no difference: the part has ended.
            select(pin!(future), pin!(strike(defect, part))).await;
        }
    }

    /// Runs a part that returns once its work is done. It is reported if it panics or is dropped before that.
    pub fn run_to_completion<F>(&self, part: &'static str, future: F) -> impl Future<Output = ()> + use<F>
    where
        F: Future<Output = ()>,
    {
        let guard = self.guard(part);
        let defect = self.defect.clone();
        async move {
            if let Either::Left(_) = select(pin!(future), pin!(strike(defect, part))).await {
                guard.complete();
            }
        }
    }

    /// Watches an actor that must not end.
    pub fn watch<A: Actor>(&self, part: &'static str, actor: Addr<A>) -> impl Future<Output = ()> + use<A> {
        let guard = self.guard(part);
        async move {
            let _guard = guard;
            while actor.connected() {
                sleep(Self::CHECK_INTERVAL).await;
            }
        }
    }

    /// Ends the calling actor if a test has set a defect of its part, or of the job that it handles, by id.
    ///
    /// # Panics
    ///
    /// Panics if the defect is due; never without one.
    pub fn check(&self, part: &str) {
        let is_due = self.defect.as_ref().is_some_and(|defect| defect.ends(part));
        assert!(!is_due, "defect of {part}");
    }
}

/// Waits until a defect ends a part.
async fn strike(defect: Option<Defect>, part: &'static str) {
    match defect {
        Some(defect) => defect.wait(part).await,
        None => pending().await,
    }
}
