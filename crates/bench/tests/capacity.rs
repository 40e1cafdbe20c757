//! Guards the capacity measurements: the fit must recover a known plane, and the harness must run and finish jobs.

use bench::{CapacityPoint, LinearFit, SchedulerHarness, SlopePoint, small_config};
use model::{Config, DataCentreStatus, Organisation, Resources, Topology};
use policy::GuaranteedShare;

/// A wrong elimination step would give a plausible but false cost per task.
#[test]
fn linear_fit_recovers_a_known_plane() {
    let points: Vec<_> = [(1.0, 2.0), (5.0, 2.0), (1.0, 7.0), (9.0, 11.0)]
        .map(|(tasks, workers)| (tasks, workers, 3.0 + 0.5 * tasks + 2.0 * workers))
        .into();
    let fit = LinearFit::new(&points);
    assert!((fit.at(100.0, 10.0) - 73.0).abs() < 1e-9, "{fit:?}");
    assert!(fit.worst_deviation < 1e-9);
}

/// A harness in which no job starts or ends would report a cost that is too low.
#[test]
fn harness_starts_and_finishes_jobs() {
    let topology = Topology::uniform(1, 2, 8, Resources::new(8, 8, 32_000, 65_536));
    let organisation: model::OrganisationId = "org-01".parse().unwrap();
    let config = Config {
        organisations: vec![Organisation::new(organisation.clone())],
        data_centres: vec![DataCentreStatus {
            id: "dc1".parse().unwrap(),
            in_service: true,
        }],
        ..Config::default()
    };
    let mut harness = SchedulerHarness::new(&topology, &config, GuaranteedShare::new(&topology));
    for _ in 0..20 {
        harness.submit(&organisation);
    }
    assert_eq!(harness.running(), 16, "each worker runs 8");
    harness.finish(10);
    harness.advance_time(2_000);
    assert_eq!(harness.running(), 10, "10 ended and the 4 that waited started");
}

/// Guards against measurements with fewer tasks than they report.
#[test]
fn points_have_the_requested_size() {
    let new = |topology: &Topology| GuaranteedShare::new(topology).serving([topology.data_centres[0].id.clone()]);
    let point = CapacityPoint::measure(60, 100, new);
    assert_eq!((point.workers, point.tasks), (60, 100));
    assert!(point.renew_bytes_per_s.0 > 0.0 && point.steady_core_share > 0.0);
    let topology = Topology::uniform(4, 41, 8, Resources::new(24, 24, 96_000, 192 * 1024));
    let config = small_config(&topology, 1);
    let slope = SlopePoint::measure(GuaranteedShare::new(&topology), (&topology, &config), (900, 200), 1);
    assert_eq!(slope.tasks + slope.waiting, 900 + 200);
    assert!(slope.tasks >= 900, "{slope:?}");
}
