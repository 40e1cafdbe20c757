//! Decisions on shares, without a scheduler.

use proptest::prelude::*;
use rstest::rstest;
use shares::{Amounts, Entry, Excess, Filling, Resource, waves};

const fn amounts(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Amounts {
    Amounts {
        cpu_milli,
        memory_mib,
        accelerators,
    }
}

/// Guards against a maximum that limits the wrong resource, and against one of 0 that admits nothing.
#[rstest]
#[case::no_limit(amounts(0, 0, 0), amounts(9, 9, 9), u64::MAX, None)]
#[case::cpu_binds(amounts(5, 0, 0), amounts(2, 9, 9), 2, None)]
#[case::smallest_binds(amounts(9, 8, 2), amounts(1, 2, 1), 2, None)]
#[case::need_of_zero(amounts(0, 0, 4), amounts(1, 1, 0), u64::MAX, None)]
#[case::too_wide(amounts(0, 0, 4), amounts(0, 0, 5), 0, Some(Resource::Accelerators))]
fn room_of_an_unused_maximum(
    #[case] maximum: Amounts,
    #[case] need: Amounts,
    #[case] room: u64,
    #[case] alone: Option<Resource>,
) {
    let entry = Entry {
        maximum,
        ..Entry::default()
    };
    assert_eq!(entry.room_for(&need), room);
    assert_eq!(entry.excess_alone(&need).map(|excess| excess.resource), alone);
}

/// Guards against starts after a maximum was lowered below what is in use, also of work that needs nothing of it.
#[test]
fn exceeded_maximum_admits_nothing() {
    let entry = Entry {
        maximum: amounts(0, 0, 4),
        usage: amounts(0, 0, 6),
        ..Entry::default()
    };
    let light = amounts(1, 0, 0);
    assert_eq!(entry.room_for(&light), 0);
    let excess = Excess {
        resource: Resource::Accelerators,
        in_use: 6,
        limit: 4,
    };
    assert_eq!(entry.excess_with(&light), Some(excess));
}

/// Guards against waves of a step that fits, or that can never run.
#[rstest]
#[case::fits(4, 4, 1)]
#[case::one_more(5, 4, 2)]
#[case::one_at_a_time(7, 1, 7)]
#[case::never_fits(7, 0, 1)]
fn waves_of_a_step(#[case] tasks: u64, #[case] at_once: u64, #[case] expected: u64) {
    assert_eq!(waves(tasks, at_once), expected);
}

proptest! {
    /// Guards against an order that differs from the weights: after filling with equal tasks, no organisation is more than
    /// one task below its weighted part.
    #[test]
    fn filling_follows_the_weights(weights in proptest::collection::vec(1_u64..9, 2..6)) {
        let capacity = amounts(1_000, 1_000, 1_000);
        let entries = weights.iter().map(|weight| Entry { weight: *weight, ..Entry::default() }).collect();
        let mut filling = Filling::new(capacity, entries);
        let mut counts = vec![0_u64; weights.len()];
        for _ in 0..1_000 {
            let next = filling.next(0..weights.len()).unwrap();
            counts[next] += 1;
            filling.add(next, &amounts(0, 0, 1));
        }
        let total: u64 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let fair = 1_000.0 * *weight as f64 / total as f64;
            prop_assert!((*count as f64 - fair).abs() <= weights.len() as f64, "{counts:?} {weights:?}");
        }
    }

    /// Guards against room that exceeds the maximum by rounding, or leaves some of it unused.
    #[test]
    fn room_fills_the_maximum(
        limit in 1_u64..500, used in 0_u64..500, need in 1_u64..50,
    ) {
        let entry = Entry { maximum: amounts(limit, 0, 0), usage: amounts(used, 0, 0), ..Entry::default() };
        let room = entry.room_for(&amounts(need, 0, 0));
        if room > 0 {
            prop_assert_eq!(entry.excess_with(&amounts(need * room, 0, 0)), None);
        }
        prop_assert!(entry.excess_with(&amounts(need * (room + 1), 0, 0)).is_some());
    }
}
