//! Timeline of typed events over all processes: record, merge and render.
//!
//! ```
//! use trace::{Event, EventKind, Ring};
//!
//! let mut ring = Ring::new("entry-1".parse()?, 16);
//! ring.push(1_000, Event::new(EventKind::SchedulerElected).epoch(model::Epoch(3)));
//! assert_eq!(ring.after(0).count(), 1);
//! # Ok::<(), model::InvalidId>(())
//! ```

mod bounded_sink;
mod event;
mod event_kind;
mod merge;
mod page;
mod record;
mod ring;
mod svg;
mod text;

pub use bounded_sink::BoundedSink;
pub use event::Event;
pub use event_kind::EventKind;
pub use merge::merge;
pub use page::Page;
pub use record::Record;
pub use ring::Ring;
pub use svg::to_svg;
pub use text::to_text;
