//! Timer service: an actor that other actors subscribe to for periodic and one-shot ticks.
//!
//! ```
//! use std::time::Duration;
//!
//! use actix::prelude::*;
//! use timer::{Subscribe, Tick, Timer};
//!
//! struct Poller;
//!
//! impl Actor for Poller {
//!     type Context = Context<Self>;
//! }
//!
//! impl Handler<Tick> for Poller {
//!     type Result = ();
//!
//!     fn handle(&mut self, _tick: Tick, _ctx: &mut Self::Context) {
//!         System::current().stop();
//!     }
//! }
//!
//! System::new().block_on(async {
//!     let timer = Timer::default().start();
//!     let poller = Poller.start();
//!     timer.do_send(Subscribe::every(Duration::from_millis(5), poller.recipient()));
//! });
//! ```

mod subscribe;
mod tick;
mod timer_actor;

pub use subscribe::Subscribe;
pub use tick::Tick;
pub use timer_actor::Timer;
