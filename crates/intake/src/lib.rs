//! Limits on the bytes, connections and time that callers may take of a process.
//!
//! [`ConnectionTable`] decides without I/O and without a clock which connection is closed and why. [`Intake`] shares one
//! table among all listeners of a process, [`Connection`] is the handle of one connection, and [`LimitedStream`] counts
//! the bytes of its socket.
//!
//! Connections of other instances carry many requests at once. [`PeerTable`] decides for them, [`PeerIntake`] shares it
//! among threads, [`PeerConnection`] and [`PeerRequest`] are the handles, and [`PeerStream`] wraps the socket.

mod cause;
mod closed_log;
mod connection;
mod connection_table;
mod decoded_bytes;
mod head_scanner;
mod intake;
mod limited_stream;
mod limits;
mod peer_connection;
mod peer_intake;
mod peer_limits;
mod peer_stream;
mod peer_table;
mod stage;

pub use cause::Cause;
pub use connection::Connection;
pub use connection_table::{ConnectionKey, ConnectionTable};
pub use decoded_bytes::decoded_bytes;
pub use head_scanner::HeadScanner;
pub use intake::Intake;
pub use limited_stream::LimitedStream;
pub use limits::Limits;
pub use peer_connection::{PeerConnection, PeerRequest};
pub use peer_intake::PeerIntake;
pub use peer_limits::PeerLimits;
pub use peer_stream::PeerStream;
pub use peer_table::{PeerKey, PeerTable};
pub use stage::Stage;
