//! Urgent path: grants, dispatch to workers, batched attempt records, retries and forwarding.

mod attempt_record;
mod demand;
mod dispatch;
mod forward;
mod grant_pool;
mod probe;
mod recent_ids;
mod record_rejection;
mod recorder;
mod resolve;
mod retry_budget;
mod retry_placement;
mod sent_attempt;
mod urgent_actor;
mod urgent_core;
mod urgent_grants;

pub(crate) use attempt_record::{AttemptResult, apply_result, urgent_key, urgent_prefix};
pub(crate) use probe::{ProbeResult, probe_task};
pub(crate) use urgent_actor::{Flush, RunUrgent, UpdateGrants, UrgentActor};
pub(crate) use urgent_grants::grant_resources;
