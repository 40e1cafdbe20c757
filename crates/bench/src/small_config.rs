use model::{Adjacency, Config, DataCentreStatus, Guarantee, Organisation, Shape, Topology};

/// Returns a configuration of 34 organisations with small guarantees, `count` for the first one.
///
/// The guarantees fit into topologies far smaller than the design scale, so that measurements can vary the size.
///
/// # Panics
///
/// Never panics in practice: the generated names are valid ids.
pub fn small_config(topology: &Topology, count: u16) -> Config {
    let organisations = (1..=34).map(|index| {
        let id = format!("org-{index:02}").parse().expect("generated names are valid");
        let mut organisation = Organisation::new(id).guarantee(Guarantee {
            shape: Shape::new(2, 8, Adjacency::Rack),
            count: if index == 1 { count } else { 1 },
            data_centre: None,
        });
        organisation.quota_accelerators = Some(10_000);
        organisation
    });
    let data_centres = topology.data_centres.iter().map(|dc| DataCentreStatus {
        id: dc.id.clone(),
        in_service: true,
    });
    Config {
        organisations: organisations.collect(),
        data_centres: data_centres.collect(),
        ..Config::default()
    }
}
