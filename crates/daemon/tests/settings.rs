//! Tests of the settings: every error is reported, with its JSON path.

use pomelovaled::settings::Settings;
use serde_json::{json, Value};

fn valid() -> Value {
    serde_json::from_str(include_str!("../../../examples/north.json")).unwrap()
}

fn paths(value: &Value) -> Vec<String> {
    match Settings::parse(&value.to_string()) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.into_iter().map(|f| f.path).collect(),
    }
}

/// Guards against example files that are not valid settings.
#[test]
fn example_files_are_valid() {
    for text in [
        include_str!("../../../examples/north.json"),
        include_str!("../../../examples/south.json"),
        include_str!("../../../examples/west.json"),
    ] {
        assert_eq!(Settings::parse(text).err(), None);
    }
}

macro_rules! faults {
    ($($name:ident: $edit:expr => [$($path:literal),*];)*) => {$(
        /// Guards against an error that is not detected, or that hides another one.
        #[test]
        fn $name() {
            let mut value = valid();
            let edit: fn(&mut Value) = $edit;
            edit(&mut value);
            assert_eq!(paths(&value), [$($path),*] as [&str; _]);
        }
    )*};
}

faults! {
    unknown_field: |v| v["colour"] = json!(1) => ["colour"];
    several_errors_are_all_reported: |v| {
        v["callers"] = json!("localhost");
        v["initial"]["services"]["shop"]["routes"][1]["prefx"] = json!("/x");
        v["initial"]["workspaces"]["alpha"]["rate"] = json!(0);
        v["initial"]["backends"]["shop-north-a"]["slots"] = json!("six");
    } => [
        "callers",
        "initial.services.shop.routes[1].prefx",
        "initial.backends.shop-north-a.slots",
        "initial.workspaces.alpha.rate"
    ];
    missing_field: |v| { v.as_object_mut().unwrap().remove("operators"); } => ["operators"];
    unknown_role: |v| v["roles"] = json!(["entry", "cache"]) => ["roles[1]"];
    no_role: |v| v["roles"] = json!([]) => ["roles"];
    no_data_folder: |v| { v.as_object_mut().unwrap().remove("data"); } => ["data"];
    not_among_peers: |v| { v["peers"].as_object_mut().unwrap().remove("north-1"); } => ["peers"];
    bad_name: |v| v["instance"] = json!("north 1") => ["instance"];
    unknown_region_of_backend: |v| v["initial"]["backends"]["shop-north-a"]["region"] = json!("east")
        => ["initial.backends.shop-north-a"];
    key_with_two_holders: |v| v["initial"]["keys"]["k1"]["operator"] = json!("ann") => ["initial.keys.k1"];
    bad_digest: |v| v["initial"]["keys"]["k1"]["digest"] = json!("00") => ["initial.keys.k1.digest"];
    unknown_entry_limits: |v| v["entry"] = json!({"body_bites": 1, "queue": -1}) => ["entry.body_bites", "entry.queue"];
    unknown_control_limits: |v| v["control"] = json!({"call": 1}) => ["control.call"];
}

/// Guards against a JSON syntax error that is reported without its position.
#[test]
fn broken_json_names_line_and_column() {
    let errors = Settings::parse("{\n  \"instance\": }").unwrap_err();
    assert!(
        errors[0].text.contains("line 2 column 15"),
        "{}",
        errors[0].text
    );
}
