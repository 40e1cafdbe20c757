//! Guards against lost periodic ticks and repeated one-shot ticks.

use std::time::Duration;

use actix::prelude::*;
use timer::{Subscribe, Tick, Timer};

struct Counter {
    periodic: u32,
    single: u32,
}

impl Actor for Counter {
    type Context = Context<Self>;
}

impl Handler<Tick> for Counter {
    type Result = ();

    fn handle(&mut self, tick: Tick, _ctx: &mut Self::Context) {
        match tick.topic {
            1 => self.periodic += 1,
            _ => self.single += 1,
        }
    }
}

#[derive(Message)]
#[rtype(result = "(u32, u32)")]
struct Counts;

impl Handler<Counts> for Counter {
    type Result = MessageResult<Counts>;

    fn handle(&mut self, _msg: Counts, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult((self.periodic, self.single))
    }
}

#[actix_rt::test]
async fn periodic_tick_repeats_and_one_shot_tick_does_not() {
    let timer = Timer::default().start();
    let counter = Counter { periodic: 0, single: 0 }.start();
    timer.do_send(Subscribe::every(Duration::from_millis(5), counter.clone().recipient()).topic(1));
    timer.do_send(Subscribe::once(Duration::from_millis(5), counter.clone().recipient()).topic(2));
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    let (periodic, single) = counter.send(Counts).await.unwrap();
    assert!(periodic >= 3, "{periodic}");
    assert_eq!(single, 1);
}
