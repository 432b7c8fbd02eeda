//! Runs each command of the real binary against a simulated site.

mod common;

use common::{Fault, Workdir};

const SITE: &str = r#"[
    {"put_region": {"name": "north", "region": {"domains": ["north-a"]}}},
    {"put_region": {"name": "south", "region": {"domains": ["south-a"]}}},
    {"put_site": {"name": "n1", "site": {"region": "north", "domain": "north-a"}}},
    {"put_service": {"name": "shop", "service": {"timeout_ms": 1000, "bytes": 1000, "routes": []}}},
    {"put_workspace": {"name": "w", "workspace": {"rate": 10, "burst": 20, "weight": 1}}}
]"#;

fn site() -> Workdir {
    let dir = Workdir::new();
    dir.file("site.json", SITE);
    assert!(dir
        .expect(0, &["apply", "site.json"])
        .contains("accepted 5 commands as version 1"));
    dir
}

macro_rules! fails {
    ($($name:ident: $code:literal, $words:expr, $text:literal;)*) => {$(
        /// Guards against bad input that is accepted, or refused without a reason.
        #[test]
        fn $name() {
            let dir = site();
            let before = dir.machine.lock().unwrap().document.clone();
            let text = dir.expect($code, &$words);
            assert!(text.contains($text), "{text}");
            assert_eq!(dir.machine.lock().unwrap().document, before);
        }
    )*};
}

fails! {
    unknown_command: 2, ["fly"], "\"fly\" is not a command";
    unknown_subcommand: 2, ["move", "fly"], "is not a move command";
    missing_argument: 2, ["backend", "drain"], "backend server name is missing";
    bad_name: 2, ["backend", "drain", "a b"], "not a valid backend server name";
    surplus_argument: 2, ["key", "list", "more"], "unexpected argument \"more\"";
    bad_step: 2, ["move", "create", "m", "--services", "shop", "--from", "north", "--to", "south",
        "--steps", "10:10,x"], "\"x\" is not a step";
    missing_file: 11, ["apply", "none.json"], "No such file";
    unknown_backend: 8, ["backend", "drain", "none"], "there is no backend server named none";
    key_without_holder: 2, ["key", "add", "k"], "either --workspace or --operator";
    move_over_cap: 2, ["move", "create", "m", "--services", "shop", "--from", "north", "--to", "south",
        "--steps", "200:100"], "over the cap";
    stale_base: 10, ["workspace", "put", "w", "--rate", "1", "--burst", "1", "--base", "0"], "version-conflict";
    no_listener: 5, ["status", "--operators", ","], "no listener is given";
}

/// Guards against a key that is sent or stored in plain text.
#[test]
fn only_the_digest_of_a_key_is_sent() {
    let dir = site();
    let printed = dir.expect(0, &["key", "add", "k1", "--workspace", "w"]);
    let key = printed.lines().next().unwrap();
    assert!(key.starts_with("pk.k1."));
    let digest = dir.machine.lock().unwrap().document.keys["k1"].digest;
    assert_eq!(digest, pomelovale_state::digest::Digest::of_key(key));
    dir.expect(0, &["key", "revoke", "k1"]);
    assert!(dir.expect(0, &["key", "list"]).contains("revoked"));
}

/// Guards against a change that runs twice when its first answer was lost.
#[test]
fn a_lost_answer_does_not_repeat_a_change() {
    let dir = site();
    *dir.fault.lock().unwrap() = Fault::LostAnswer;
    let text = dir.expect(
        0,
        &["workspace", "put", "w", "--rate", "30", "--burst", "5"],
    );
    assert!(
        text.contains("accepted as version 2, workspace version 2"),
        "{text}"
    );
    assert_eq!(dir.machine.lock().unwrap().document.version, 2);
}

/// Guards against a refused key being reported as something else.
#[test]
fn a_refused_key_has_its_own_exit_code() {
    let dir = site();
    let key = dir.file("key", "pk.other.secret\n");
    dir.expect(6, &["backend", "list", "--key-file", key.to_str().unwrap()]);
}

/// Guards against one bad or stale row stopping the rest of a sheet.
#[test]
fn a_sheet_is_applied_row_by_row() {
    let dir = site();
    for name in ["m", "n"] {
        let from = if name == "m" {
            ["north", "south"]
        } else {
            ["south", "north"]
        };
        let words = [
            "move",
            "create",
            name,
            "--services",
            "shop",
            "--from",
            from[0],
            "--to",
            from[1],
        ];
        dir.expect(0, &[&words[..], &["--steps", "100:100,200:100"]].concat());
    }
    dir.expect(0, &["move", "export", "--out", "sheet.csv"]);
    dir.expect(0, &["move", "hold", "n", "--reason", "lunch"]);
    let mut lines: Vec<String> = dir.read("sheet.csv").lines().map(str::to_owned).collect();
    assert_eq!(lines.len(), 5);
    lines[1].push_str("advance");
    lines[2].push_str("jump");
    lines[3].push_str("advance");
    dir.file("sheet.csv", &lines.join("\n"));
    let text = dir.expect(12, &["move", "apply", "sheet.csv"]);
    assert!(text.contains("row 2: applied"), "{text}");
    assert!(
        text.contains("row 3: refused column action: \"jump\" is not an action"),
        "{text}"
    );
    assert!(text.contains("row 4: refused version-conflict"), "{text}");
    assert!(text.contains("row 5: no action"), "{text}");
    assert_eq!(dir.machine.lock().unwrap().document.moves["m"].done, 1);
    let again = dir.expect(12, &["move", "apply", "sheet.csv"]);
    assert!(again.contains("row 2: applied"), "{again}");
    assert_eq!(dir.machine.lock().unwrap().document.moves["m"].done, 1);
}

/// Guards against a block file with an invalid row that is loaded in part without an
/// error.
#[test]
fn blocks_are_loaded_and_counted() {
    let dir = site();
    dir.file(
        "blocks.csv",
        "prefix,site\n10.0.0.0/8,n1\n2001:db8::/32,n1\n",
    );
    dir.expect(0, &["blocks", "load", "blocks.csv"]);
    assert_eq!(dir.expect(0, &["blocks", "count"]), "2\n");
    dir.file("bad.csv", "prefix,site\n10.0.0.0/8,n1\n10.0.0.0/99,n1\n");
    let text = dir.expect(2, &["blocks", "load", "bad.csv"]);
    assert!(text.contains("row 3, column prefix"), "{text}");
}

/// Guards against a status without the age of each instance's view.
#[test]
fn status_shows_versions_and_ages() {
    let dir = site();
    let text = dir.expect(0, &["status"]);
    assert!(text.contains("holds version 1, proven 5 ms ago"), "{text}");
    assert!(text.contains("e1        1        300"), "{text}");
}

/// Guards against usage texts that are missing.
#[test]
fn every_command_has_a_usage_text() {
    let dir = Workdir::new();
    for command in [
        "apply",
        "backend",
        "blocks",
        "instance",
        "key",
        "move",
        "service",
        "status",
        "workspace",
    ] {
        assert!(dir.expect(0, &[command, "--help"]).contains("Usage:"));
    }
}

const LOG: &str = r#"{"timestamp":"2026-12-04T05:00:00.000000Z","level":"INFO","event":"routing","routing":4,"before":3}
  1.5 g1 {"timestamp":"2026-12-04T05:00:01.500000Z","level":"INFO","event":"unreachable","server":"b1","cause":"TimedOut"}
{"timestamp":"2026-12-04T05:00:02.000000Z","level":"INFO","event":"request","id":"q1","status":503,"cause":"overloaded"}
{"timestamp":"2026-12-04T05:00:02.100000Z","level":"INFO","event":"request","id":"q2","status":200,"cause":""}
{"timestamp":"2026-12-04T05:00:09.000000Z","level":"INFO","event":"routing","routing":5,"before":4}
half a li
"#;

/// Guards against output that lacks the state of the instance at the time of the request,
/// or that shows other requests.
#[test]
fn explain_prints_only_one_request() {
    let dir = site();
    dir.file("g1.log", LOG);
    let text = dir.expect(0, &["explain", "q1", "g1.log"]);
    assert!(
        text.contains("overloaded") && text.contains("unreachable"),
        "{text}"
    );
    assert!(
        text.contains("routing=4") && !text.contains("routing=5"),
        "{text}"
    );
    assert!(!text.contains("q2"), "{text}");
}

/// Guards against empty output and success for a request that no process logged.
#[test]
fn explain_fails_for_an_unlogged_request() {
    let dir = site();
    dir.file("g1.log", LOG);
    assert!(dir.expect(8, &["explain", "q9", "g1.log"]).contains("q9"));
}
