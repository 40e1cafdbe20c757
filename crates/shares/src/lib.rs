//! Shares of organisations in the capacity of a deployment.
//!
//! The crate does no I/O and knows neither the scheduler nor the wire format. [`Entry`] decides whether an amount may be
//! added to what an organisation has running; [`Filling`] is the order in which organisations get capacity.
//!
//! ```
//! use shares::{Amounts, Entry};
//!
//! let entry = Entry {
//!     maximum: Amounts { accelerators: 8, ..Amounts::default() },
//!     usage: Amounts { accelerators: 6, ..Amounts::default() },
//!     ..Entry::default()
//! };
//! let need = Amounts { accelerators: 2, ..Amounts::default() };
//! assert_eq!(entry.room_for(&need), 1);
//! ```

mod amounts;
mod entry;
mod excess;
mod filling;
mod waves;

pub use amounts::{Amounts, largest_ratio};
pub use entry::Entry;
pub use excess::{Excess, Resource};
pub use filling::Filling;
pub use waves::waves;
