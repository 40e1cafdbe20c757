//! Reports when a part of the process ends without which the process cannot do its work.
//!
//! A panic ends only the task or actor in which it happens. The other parts go on: they renew leases and report
//! readiness for work that nobody does any more. Each part is therefore started through a [`Supervisor`], and the owner
//! of the process waits for [`EndedParts::next`] and ends the process.
//!
//! ```
//! use supervise::Supervisor;
//!
//! actix_rt::System::new().block_on(async {
//!     let (supervisor, mut ended) = Supervisor::new();
//!     actix_rt::spawn(supervisor.run("feed", async { /* ends although it should not */ }));
//!     assert_eq!(ended.next().await, "feed");
//! });
//! ```

mod defect;
mod ended_parts;
mod part_guard;
mod supervisor;

pub use defect::Defect;
pub use ended_parts::EndedParts;
pub use part_guard::PartGuard;
pub use supervisor::Supervisor;
