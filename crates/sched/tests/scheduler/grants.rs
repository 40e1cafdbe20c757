//! Grants: urgent work must keep its slots over a change of scheduler, and lose them when nothing may start.

use crate::common::{Fault, Step, World, check, job};
use rstest::rstest;

#[rstest]
#[case::undisturbed(None, 8)]
#[case::holder_killed(Some(Fault::HolderKilled), 8)]
#[case::holder_frozen(Some(Fault::HolderFrozen), 8)]
#[case::holder_paused(Some(Fault::HolderPaused), 8)]
#[case::worker_killed(Some(Fault::WorkerKilled), 8)]
#[case::worker_frozen(Some(Fault::WorkerFrozen), 8)]
#[case::worker_cut_off(Some(Fault::WorkerCutOff), 8)]
#[case::request_lost(Some(Fault::RequestLost), 8)]
#[case::reply_lost(Some(Fault::ReplyLost), 8)]
#[case::request_delayed(Some(Fault::Delayed), 8)]
fn each_instance_gets_its_slots_back(#[case] fault: Option<Fault>, #[case] wanted: usize) {
    for skip in 0..4 {
        let mut world = World::new(3, None);
        world.arm(fault, Step::Reserve, skip);
        world.run(1_000);
        world.want_grants(4);
        world.run(10_000);
        world.want_grants(4);
        world.run(30_000);
        assert_eq!(world.live_grants(), wanted, "occurrence {skip}");
    }
}

#[test]
fn grants_outlive_the_scheduler() {
    let mut world = World::new(2, None);
    world.run(1_000);
    world.want_grants(3);
    world.run(3_000);
    let before: Vec<_> = world.grants.keys().copied().collect();
    assert_eq!(before.len(), 6);
    world.kill(0);
    world.run(4_500);
    let after: Vec<_> = world.grants.keys().copied().collect();
    assert_eq!(after, before, "the successor adopts grants and revokes none");
}

#[test]
fn out_recalls_grants_and_moves_queued_jobs() {
    let mut world = World::new(1, None);
    world.run(1_000);
    world.want_grants(2);
    world.submit(job("running", false, 2, 6_000));
    world.run(2_000);
    world.submit(job("queued", false, 4, 1_000));
    world.run(2_500);
    world.reach_at(2_600, Step::Out);
    world.run(4_000);
    assert_eq!(world.live_grants(), 0);
    let dc_of = |id: &str| world.table.rows[&id.parse().unwrap()].0.data_centre.to_string();
    assert_eq!(
        (dc_of("org/running").as_str(), dc_of("org/queued").as_str()),
        ("dc1", "dc2")
    );
    world.run(12_000);
    assert_eq!(check(&world), Vec::<String>::new());
}

#[test]
fn fewer_wanted_slots_are_recalled() {
    let mut world = World::new(1, None);
    world.run(1_000);
    world.want_grants(4);
    world.run(2_000);
    world.want_grants(1);
    world.run(3_000);
    assert_eq!(world.live_grants(), 2);
}
