//! HTTP listeners whose connections, bytes and times are limited by the crate `intake`.
//!
//! [`bind`] opens a listening socket with small kernel buffers, [`serve`] serves an application on it, and [`read_body`]
//! reads the body of a request up to a limit. [`BodyBuffer`] holds the bytes of an unfinished body.

mod bind;
mod body_buffer;
mod read_body;
mod serve;

pub use bind::bind;
pub use body_buffer::BodyBuffer;
pub use read_body::{BodyError, read_body};
pub use serve::serve;
