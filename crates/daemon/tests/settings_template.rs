//! Settings template of the deployment: everything that starts an instance from it has to fill in every field.

use rstest::rstest;

const TEMPLATE: &str = include_str!("../../../deploy/settings.json5");

/// Guards against a new field that stand-ins with a list of their own leave unfilled, so that no instance of theirs
/// starts.
#[rstest]
#[case::review("review/standin-2/src/fleet.rs", include_str!("../../../review/standin-2/src/fleet.rs"))]
#[case::soak("platform/soak/src/settings.rs", include_str!("../../../platform/soak/src/settings.rs"))]
fn every_field_is_filled_in(#[case] path: &str, #[case] source: &str) {
    let fields = TEMPLATE.split("{{").skip(1).filter_map(|rest| rest.split("}}").next());
    let is_filled = |field: &str| {
        let name = field.strip_prefix("bounds.").unwrap_or(field);
        source.contains(&format!("\"{field}\"")) || source.contains(&format!("\"{name}\""))
    };
    let missing: Vec<_> = fields.filter(|field| !is_filled(field)).collect();
    assert!(missing.is_empty(), "{path} does not fill in {missing:?}");
}
