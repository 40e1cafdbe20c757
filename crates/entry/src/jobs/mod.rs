//! Jobs: submission, waiting, status, answers, cancellation, listing and audit.

mod audit;
mod deferred;
mod homes_cache;
mod job_actor;
mod job_page;
mod job_reply;
mod job_status;
mod lookup;
mod row_outcome;

pub use audit::Audit;
pub(crate) use job_actor::{AuditJob, CancelRequest, JobActor, ListJobs, ReadAnswer, ReadStatus, SubmitJob};
pub use job_page::JobPage;
pub use job_reply::JobReply;
pub use job_status::JobStatus;
pub(crate) use row_outcome::outcome_of_row;
