use compact_str::CompactString;
use tokio::sync::watch::{Receiver, Sender, channel};

/// Lets a test end one part of a process, to see what the process does then.
#[derive(Debug, Clone)]
pub struct Defect(Receiver<CompactString>);

impl Defect {
    /// Returns the sender of the part that ends, and the defect for [`Supervisor::with_defect`](crate::Supervisor::with_defect).
    pub fn new() -> (Sender<CompactString>, Self) {
        let (sender, receiver) = channel(CompactString::default());
        (sender, Self(receiver))
    }

    /// Returns whether a part has to end.
    pub(crate) fn ends(&self, part: &str) -> bool {
        *self.0.borrow() == part
    }

    /// Waits until a part has to end.
    pub(crate) async fn wait(mut self, part: &'static str) {
        if self.0.wait_for(|ending| ending == part).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
