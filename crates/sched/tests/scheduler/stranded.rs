//! Jobs that their data centre could not run even when idle.

use model::JobRow;
use policy::GuaranteedShare;
use rstest::rstest;

use crate::common::{Simulation, job};

/// Guards against an old job that is moved to the next data centre at every scan: the wait before a move doubles, but it
/// was counted from the acceptance of the job alone.
#[rstest]
#[case::first_move(0, "dc2")]
#[case::moved_often(9, "dc1")]
fn wait_before_a_move_grows_with_the_moves(#[case] moves: u32, #[case] data_centre: &str) {
    let mut sim = Simulation::<GuaranteedShare>::new(3, None);
    sim.run_until(1_000);
    // Without this worker the job, which takes all accelerators of three, does not fit any more.
    sim.workers[0].kill(1_000);
    sim.run_until(8_000);
    let mut row = JobRow::new(job("wide", false, 12, 500), "dc1".parse().unwrap(), 0);
    row.moves = moves;
    let id = row.id();
    sim.submit_row(row);
    sim.run_until(12_000);
    assert_eq!(sim.table.rows[&id].0.data_centre.to_string(), data_centre);
}
