use std::time::Duration;

use actix::prelude::*;
use supervise::Supervisor;

use crate::{Subscribe, Tick};

/// Actor that sends ticks to its subscribers.
#[derive(Debug, Default)]
pub struct Timer {
    supervisor: Supervisor,
}

impl Timer {
    /// Returns a timer that is a part of a process.
    pub const fn new(supervisor: Supervisor) -> Self {
        Self { supervisor }
    }
}

impl Actor for Timer {
    type Context = Context<Self>;
}

impl Handler<Subscribe> for Timer {
    type Result = ();

    fn handle(&mut self, subscribe: Subscribe, ctx: &mut Self::Context) {
        let Subscribe {
            interval,
            once,
            topic,
            recipient,
        } = subscribe;
        if once {
            ctx.run_later(interval, move |_, _| recipient.do_send(Tick { topic }));
            return;
        }
        tick_every(ctx, interval, topic, recipient);
    }
}

/// Sends a tick after each interval until the subscriber stops.
fn tick_every(ctx: &mut Context<Timer>, interval: Duration, topic: u32, recipient: Recipient<Tick>) {
    ctx.run_later(interval, move |timer, ctx| {
        timer.supervisor.check("timer");
        if recipient.connected() {
            // A full mailbox means that the subscriber lags behind; another tick would not help.
            let _ = recipient.try_send(Tick { topic });
            tick_every(ctx, interval, topic, recipient);
        }
    });
}
