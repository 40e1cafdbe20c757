use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;

/// Stand-in for the platform's load balancer: polls the instances for readiness.
#[derive(Debug, Clone)]
pub struct Balancer {
    servers: Rc<[String]>,
    ready: Rc<RefCell<Vec<bool>>>,
}

impl Balancer {
    /// Interval of readiness checks; must be shorter than the time from failing readiness to closing the listener.
    const INTERVAL: Duration = Duration::from_millis(250);
    const TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates a balancer that assumes all servers ready until the first check.
    pub fn new(servers: &[String]) -> Self {
        Self {
            servers: servers.into(),
            ready: Rc::new(RefCell::new(vec![true; servers.len()])),
        }
    }

    /// Checks the readiness of the servers periodically; never returns.
    pub async fn watch(&self, client: &awc::Client) {
        loop {
            let ask = |server: &String| {
                let request = client.get(format!("{server}/readyz")).timeout(Self::TIMEOUT);
                async move {
                    request
                        .send()
                        .await
                        .is_ok_and(|response| response.status().is_success())
                }
            };
            let ready = join_all(self.servers.iter().map(ask)).await;
            *self.ready.borrow_mut() = ready;
            actix_rt::time::sleep(Self::INTERVAL).await;
        }
    }

    /// Returns the first ready server from index `first` on, wrapping around, or the one at `first` if none is ready.
    pub fn pick(&self, first: usize) -> &str {
        let ready = self.ready.borrow();
        let count = self.servers.len();
        let found = (first..first + count)
            .find(|index| ready[index % count])
            .unwrap_or(first);
        &self.servers[found % count]
    }
}
