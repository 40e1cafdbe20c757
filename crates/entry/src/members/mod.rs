//! Membership: heartbeats between instances, the platform's list of instances and workers, and the gRPC interface.

mod convert;
mod limited_call;
mod liveness;
mod member_view;
mod members_actor;
mod peer_interface;
mod peer_links;
mod peer_server;
mod peer_socket;
mod peer_view;
mod reply_body;

pub(crate) use convert::{peer_state, peer_view};
pub(crate) use member_view::MemberView;
pub(crate) use members_actor::{Heartbeat, Members};
pub(crate) use peer_interface::PeerInterface;
pub(crate) use peer_links::PeerLinks;
pub(crate) use peer_server::PeerServer;
pub use peer_view::{PeerStatus, PeerView};
