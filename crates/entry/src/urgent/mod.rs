//! Urgent path: grants, dispatch to workers, batched attempt records, retries and forwarding.

mod attempt_record;
mod demand;
mod desk;
mod desk_grants;
mod dispatch;
mod forward;
mod grant_pool;
mod next_place;
mod recent_ids;
mod recorder;
mod resolve;
mod retry_budget;
mod unrecorded;
mod urgent_desk;

pub(crate) use attempt_record::{Verdict, close, urgent_key, urgent_prefix};
pub(crate) use desk_grants::grant_resources;
pub(crate) use resolve::{Finding, find_out};
pub(crate) use urgent_desk::{Flush, RunUrgent, UpdateGrants, UrgentDesk};
