//! Operators' sheet: a faulty line must be reported with its position, and no part of the sheet may be applied.

use conf::{Change, Sheet};
use rstest::rstest;

const HEADER: &str = "record,name,weight,parts,accelerators_per_part,adjacency,count,data_centre,state,class,boost";

fn faults(lines: &str) -> String {
    Sheet::parse(&format!("{HEADER}\n{lines}"))
        .expect_err("the sheet has a fault")
        .to_string()
}

#[rstest]
#[case::lochside(include_str!("../../../examples/sheets/lochside.csv"), 11)]
#[case::lanka(include_str!("../../../examples/sheets/lanka.csv"), 9)]
fn example_sheets_are_valid(#[case] text: &str, #[case] guaranteed_workers: u32) {
    let config = Sheet::parse(text).unwrap();
    config.validate().unwrap();
    assert_eq!((config.organisations.len(), config.data_centres.len()), (4, 3));
    let guarantees = config
        .organisations
        .iter()
        .flat_map(|organisation| &organisation.guarantees);
    let accelerators: u32 = guarantees
        .map(|guarantee| guarantee.shape.accelerators() * u32::from(guarantee.count))
        .sum();
    assert!(accelerators >= guaranteed_workers * 8, "{accelerators}");
}

#[test]
fn every_fault_is_reported_with_line_and_column() {
    let report = faults(
        "organisation,a,0\n\
         organisation,b b,1\n\
         organisation,c,1,3\n\
         organisation,c,1\n\
         guarantee,zz,,2,8,rack,1,dc1\n\
         guarantee,c,,65,8,row,1,dc9\n\
         data_centre,dc1,,,,,,,maybe\n\
         priority,nobody,,,,,,,,urgent,300\n\
         holiday,x\n\
         data_centre,dc2,,,,,,,in,,,,,,too,many\n",
    );
    insta::assert_snapshot!("sheet_faults", report);
}

#[rstest]
#[case::empty("")]
#[case::no_data_centre("record,name\norganisation,a\n")]
#[case::unknown_column("record,name,colour\n")]
#[case::column_twice("record,name,name\n")]
#[case::no_name("record\norganisation\n")]
#[case::binary("record,name\n\u{0}\u{1},\u{2}\n")]
fn malformed_sheet_is_rejected(#[case] text: &str) {
    assert!(Sheet::parse(text).is_err());
}

#[test]
fn differences_are_displayed_with_sign_and_record() {
    let old =
        Sheet::parse("record,name,weight,state\norganisation,a,1,\norganisation,b,1,\ndata_centre,dc1,,in\n").unwrap();
    let new =
        Sheet::parse("record,name,weight,state\norganisation,b,2,\norganisation,c,1,\ndata_centre,dc1,,out\n").unwrap();
    let lines: Vec<String> = Change::between(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "- organisation a",
            "~ organisation b",
            "+ organisation c",
            "~ data_centre dc1"
        ]
    );
}
