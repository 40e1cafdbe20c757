//! Limits on the bytes, connections and time that callers may take of a process.
//!
//! [`ConnectionTable`] decides without I/O and without a clock which connection is closed and why. [`Intake`] shares one
//! table among all listeners of a process, [`Connection`] is the handle of one connection, and [`LimitedStream`] counts
//! the bytes of its socket.

mod cause;
mod connection;
mod connection_table;
mod head_scanner;
mod intake;
mod limited_stream;
mod limits;
mod stage;

pub use cause::Cause;
pub use connection::Connection;
pub use connection_table::{ConnectionKey, ConnectionTable};
pub use head_scanner::HeadScanner;
pub use intake::Intake;
pub use limited_stream::LimitedStream;
pub use limits::Limits;
pub use stage::Stage;
