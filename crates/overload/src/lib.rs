//! Decides which waiting work is delayed when capacity is insufficient, and which running work gives way.
//!
//! [`order`] sorts the waiting work of one priority so that as many jobs as possible are in time, and [`victim_cost`]
//! weighs a run by what its callers lose if it is stopped. Both work on plain values, do no I/O and read no clock.
//!
//! ```
//! use overload::{Capacity, Standing, WaitingWork, order};
//!
//! let work = |work_core_ms| WaitingWork {
//!     work_core_ms,
//!     cores: 8.0,
//!     expected_end_ms: 1_000,
//!     objective_end_ms: 2_000,
//!     late_end_ms: 6_000,
//!     objective_ms: 2_000,
//!     age_ms: 0,
//! };
//! let capacity = Capacity {
//!     now_ms: 0,
//!     cores: 8.0,
//!     ahead_core_ms: 0.0,
//!     aged_cores: 0.0,
//! };
//! let order = order(&[work(80_000.0), work(8_000.0)], &capacity);
//! assert_eq!(order, [(1, Standing::InTime), (0, Standing::InTime)]);
//! ```

mod capacity;
mod order;
mod standing;
mod victim;
mod waiting_work;

pub use capacity::Capacity;
pub use order::order;
pub use standing::Standing;
pub use victim::{Victim, victim_cost};
pub use waiting_work::WaitingWork;
