use std::time::{Duration, Instant};

use model::{JobSpec, Outcome};
use serde_json::Value;

use crate::Balancer;

/// Outcome of a call as its caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// The answer is complete and passed verification.
    Ran,
    /// The work ran and failed.
    Failed,
    /// The job was refused and did not run.
    DidNotRun {
        /// Code of the refusal.
        code: String,
    },
    /// The job was cancelled.
    Cancelled,
    /// The answer is incomplete or belongs to another request.
    WrongAnswer {
        /// What does not match.
        message: String,
    },
    /// No final outcome within the time limit.
    Missing {
        /// Last state that was reported.
        last: String,
    },
}

/// Finished call with its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Time from the first request to the outcome.
    pub took: Duration,
    /// Requests that got no reply and were sent again.
    pub interrupted: u32,
}

/// Submits one job and repeats the request until its outcome is final.
#[derive(Debug, Clone)]
pub struct Caller {
    balancer: Balancer,
    give_up: Duration,
}

impl Caller {
    /// Longest time that one request waits for the outcome, in milliseconds.
    const WAIT_MS: u64 = 4_000;
    /// Time after which a request counts as lost and is sent to another instance under the same id.
    const TIMEOUT: Duration = Duration::from_millis(Self::WAIT_MS + 3_000);
    /// Pause between two requests.
    const RETRY_PAUSE: Duration = Duration::from_millis(200);
    /// Maximum retries of a job that was refused with a retry hint.
    const REFUSAL_RETRIES: u32 = 3;

    /// Creates a caller that gives up after `give_up`.
    pub const fn new(balancer: Balancer, give_up: Duration) -> Self {
        Self { balancer, give_up }
    }

    /// Submits the job, starting at the server with index `first`, and returns its outcome.
    pub async fn call(&self, client: &awc::Client, job: &JobSpec, first: usize) -> Call {
        let start = Instant::now();
        let mut last = String::from("no reply");
        let mut refusals = 0;
        let mut interrupted = 0;
        for attempt in first.. {
            if start.elapsed() > self.give_up {
                break;
            }
            let server = self.balancer.pick(attempt).to_owned();
            let url = format!("{server}/v1/jobs?wait_ms={}", Self::WAIT_MS);
            if let Some((status, body)) = Self::post(client, &url, job).await {
                match Self::outcome(job, status, &body) {
                    Some(CallOutcome::DidNotRun { code })
                        if refusals < Self::REFUSAL_RETRIES && Self::may_retry(&body) =>
                    {
                        refusals += 1;
                        last = code;
                    }
                    Some(outcome) => {
                        return Call {
                            outcome,
                            took: start.elapsed(),
                            interrupted,
                        };
                    }
                    None => last = Self::state_of(&body),
                }
            } else {
                interrupted += 1;
                last = String::from("no reply");
            }
            actix_rt::time::sleep(Self::RETRY_PAUSE).await;
        }
        Call {
            outcome: CallOutcome::Missing { last },
            took: start.elapsed(),
            interrupted,
        }
    }

    async fn post(client: &awc::Client, url: &str, job: &JobSpec) -> Option<(u16, Value)> {
        let mut response = client.post(url).timeout(Self::TIMEOUT).send_json(job).await.ok()?;
        let body = response.body().limit(4 << 20).await.ok()?;
        Some((response.status().as_u16(), serde_json::from_slice(&body).ok()?))
    }

    fn state_of(body: &Value) -> String {
        body["outcome"]
            .as_str()
            .or(body["code"].as_str())
            .unwrap_or("unknown")
            .to_owned()
    }

    fn may_retry(body: &Value) -> bool {
        body["retry_after_ms"].is_u64() || body["refusal"]["retry_after_ms"].is_u64()
    }

    /// Returns the outcome if the reply is final.
    fn outcome(job: &JobSpec, status: u16, body: &Value) -> Option<CallOutcome> {
        if status >= 400 {
            let refused = body["did_not_run"].as_bool() == Some(true);
            return refused.then(|| CallOutcome::DidNotRun {
                code: body["code"].as_str().unwrap_or("unknown").to_owned(),
            });
        }
        match serde_json::from_value::<Outcome>(body.clone()) {
            Ok(Outcome::Ran { answer }) => Some(match answer.verify(&job.request_id) {
                Ok(()) => CallOutcome::Ran,
                Err(error) => CallOutcome::WrongAnswer {
                    message: error.to_string(),
                },
            }),
            Ok(Outcome::Failed { .. }) => Some(CallOutcome::Failed),
            Ok(Outcome::DidNotRun { refusal }) => Some(CallOutcome::DidNotRun {
                code: refusal.code().to_owned(),
            }),
            Ok(Outcome::Cancelled { .. }) => Some(CallOutcome::Cancelled),
            Ok(Outcome::InProgress | Outcome::Indeterminate) => None,
            Err(error) => Some(CallOutcome::WrongAnswer {
                message: error.to_string(),
            }),
        }
    }
}
