use std::fmt;
use std::time::Duration;

use actix::{Message, Recipient};

use crate::Tick;

/// Message that subscribes an actor to ticks. The subscription ends when the subscriber stops.
pub struct Subscribe {
    pub(crate) interval: Duration,
    pub(crate) once: bool,
    pub(crate) topic: u32,
    pub(crate) recipient: Recipient<Tick>,
}

impl Subscribe {
    /// Creates a periodic subscription. A tick is skipped while the subscriber's mailbox is full.
    pub const fn every(interval: Duration, recipient: Recipient<Tick>) -> Self {
        Self {
            interval,
            once: false,
            topic: 0,
            recipient,
        }
    }

    /// Creates a subscription to a single tick.
    pub const fn once(after: Duration, recipient: Recipient<Tick>) -> Self {
        Self {
            interval: after,
            once: true,
            topic: 0,
            recipient,
        }
    }

    /// Sets the topic carried by each tick.
    #[must_use]
    pub const fn topic(mut self, topic: u32) -> Self {
        self.topic = topic;
        self
    }
}

impl fmt::Debug for Subscribe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Subscribe")
            .field("interval", &self.interval)
            .field("once", &self.once)
            .field("topic", &self.topic)
            .finish_non_exhaustive()
    }
}

impl Message for Subscribe {
    type Result = ();
}
