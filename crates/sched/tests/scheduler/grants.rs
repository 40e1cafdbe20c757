//! Guards against urgent work that loses its granted slots when the scheduler changes, or keeps them when nothing may
//! start.

use crate::common::{Fault, FirstFitSimulation, Step, check, job};
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
        let mut sim = FirstFitSimulation::new(3, None);
        sim.arm_fault(fault, Step::Reserve, skip);
        sim.run_until(1_000);
        sim.set_wanted_slots(4);
        sim.run_until(10_000);
        sim.set_wanted_slots(4);
        sim.run_until(30_000);
        assert_eq!(sim.live_grant_count(), wanted, "occurrence {skip}");
    }
}

#[test]
fn grants_survive_a_change_of_scheduler() {
    let mut sim = FirstFitSimulation::new(2, None);
    sim.run_until(1_000);
    sim.set_wanted_slots(3);
    sim.run_until(3_000);
    let before: Vec<_> = sim.grants.keys().copied().collect();
    assert_eq!(before.len(), 6);
    sim.kill_instance(0);
    sim.run_until(4_500);
    let after: Vec<_> = sim.grants.keys().copied().collect();
    assert_eq!(after, before, "the successor adopts grants and revokes none");
}

#[test]
fn out_of_service_recalls_grants_and_moves_queued_jobs() {
    let mut sim = FirstFitSimulation::new(1, None);
    sim.run_until(1_000);
    sim.set_wanted_slots(2);
    sim.submit(job("running", false, 2, 6_000));
    sim.run_until(2_000);
    sim.submit(job("queued", false, 4, 1_000));
    sim.run_until(2_500);
    sim.schedule_step(2_600, Step::Out);
    sim.run_until(4_000);
    assert_eq!(sim.live_grant_count(), 0);
    let dc_of = |id: &str| sim.table.rows[&id.parse().unwrap()].0.data_centre.to_string();
    assert_eq!(
        (dc_of("org/running").as_str(), dc_of("org/queued").as_str()),
        ("dc1", "dc2")
    );
    sim.run_until(12_000);
    assert_eq!(check(&sim), Vec::<String>::new());
}

#[test]
fn surplus_grants_are_recalled() {
    let mut sim = FirstFitSimulation::new(1, None);
    sim.run_until(1_000);
    sim.set_wanted_slots(4);
    sim.run_until(2_000);
    sim.set_wanted_slots(1);
    sim.run_until(3_000);
    assert_eq!(sim.live_grant_count(), 2);
}
