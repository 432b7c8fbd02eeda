//! The move sheet: an exported sheet can be applied, and invalid cells are
//! reported.

use pomelovale_state::command::Command;
use pomelovale_state::moves::{Move, MoveAction, Step};
use pomelovale_state::sheet::{read, write, MoveStatus, NextStep, Sheet};
use pomelovale_state::Name;

fn status(done: usize) -> MoveStatus {
    let steps = vec![
        Step {
            share: 100,
            cap: 100,
        },
        Step {
            share: 300,
            cap: 200,
        },
    ];
    let mut plan = Move::new(
        vec!["shop".into(), "desk".into()],
        "north".into(),
        "south".into(),
        steps,
    );
    plan.done = done;
    let next = NextStep {
        headroom: 12,
        needed: 3,
        link: Some(40),
        oldest: Some(250),
        reason: String::new(),
    };
    MoveStatus {
        name: "m".into(),
        version: 7,
        plan,
        next: Some(next),
    }
}

fn with_action(text: &str, line: usize, action: &str) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    lines[line - 1].push_str(action);
    lines.join("\n")
}

fn apply(text: &str) -> Sheet {
    read(text, &Name::from("ann"))
}

/// Guards against an exported sheet that the same program can't read.
#[test]
fn an_exported_sheet_is_read_back() {
    let text = write(&[status(1)]).unwrap();
    assert!(
        text.contains("m,0,7,in_force,shop;desk,north,south,100,100,100,,,,,,"),
        "{text}"
    );
    assert!(
        text.contains("m,1,7,next,shop;desk,north,south,100,300,200,12,3,40,250,,"),
        "{text}"
    );
    let idle = apply(&text);
    assert_eq!(
        (idle.idle, idle.changes.len(), idle.faults.len()),
        (vec![2, 3], 0, 0)
    );
    let sheet = apply(&with_action(&text, 3, "advance"));
    assert_eq!(sheet.faults, []);
    assert_eq!(sheet.changes[0].rows, [3]);
    assert_eq!(sheet.changes[0].change.base, Some(7));
    let expected = Command::StepMove {
        name: "m".into(),
        action: MoveAction::Advance { to: 1 },
    };
    assert_eq!(sheet.changes[0].change.command, expected);
}

/// Guards against a sheet whose changes are applied again when it is resent, and
/// against equal request identifiers in the sheets of two operators.
#[test]
fn request_identifiers_follow_sender_and_content() {
    let text = with_action(&write(&[status(1)]).unwrap(), 3, "advance");
    let id = |sender: &str| {
        read(&text, &sender.into()).changes[0]
            .change
            .request
            .clone()
    };
    assert_eq!(id("ann"), id("ann"));
    assert_ne!(id("ann"), id("bob"));
}

/// Guards against a plan that is sent as several changes.
#[test]
fn plan_rows_of_a_move_form_one_change() {
    let text = write(&[status(0)]).unwrap();
    let text = with_action(&with_action(&text, 2, "plan"), 3, "plan");
    let sheet = apply(&text);
    assert_eq!(sheet.faults, []);
    assert_eq!(sheet.changes[0].rows, [2, 3]);
    match &sheet.changes[0].change.command {
        Command::PutMove {
            steps, services, ..
        } => assert_eq!((steps.len(), services.len()), (2, 2)),
        other => panic!("{other:?}"),
    }
}

const HEADER: &str = "move,step,version,services,from,to,share_next,cap,reason,action";

macro_rules! faults {
    ($($name:ident: $rows:expr => [$(($row:literal, $column:literal)),*], $changes:literal;)*) => {$(
        /// Guards against an invalid cell that is silently ignored or that prevents
        /// the other rows from being read.
        #[test]
        fn $name() {
            let sheet = apply(&format!("{HEADER}\n{}", $rows));
            let found: Vec<(u64, &str)> = sheet.faults.iter().map(|f| (f.row, f.column.as_str())).collect();
            let expected: Vec<(u64, &str)> = vec![$(($row, $column)),*];
            assert_eq!(found, expected, "{:?}", sheet.faults);
            assert_eq!(sheet.changes.len(), $changes);
        }
    )*};
}

faults! {
    bad_step_and_version: "m,x,y,s,a,b,1,1,,advance\nm,0,3,s,a,b,1,1,,hold" => [(2, "step"), (2, "version")], 1;
    unknown_action: "m,0,3,s,a,b,1,1,,jump\nm,0,3,s,a,b,1,1,,advance" => [(2, "action")], 1;
    bad_name: "m m,0,3,s,a,b,1,1,,advance" => [(2, "move")], 0;
    short_row: "m,0,3" => [], 0;
    plan_with_bad_share: "m,0,3,s,a,b,-1,1,,plan\nm,1,3,s,a,b,70000,z,,plan" =>
        [(2, "share_next"), (3, "share_next"), (3, "cap")], 0;
    plan_with_a_gap: "m,0,3,s,a,b,1,1,,plan\nm,2,3,s,a,b,2,1,,plan" => [(3, "step")], 0;
    plan_with_two_versions: "m,0,3,s,a,b,1,1,,plan\nm,1,4,s,a,b,2,1,,plan" => [(3, "version")], 0;
}

/// Guards against a sheet with missing columns that is read as an empty one.
#[test]
fn missing_columns_are_named() {
    let sheet = apply("move,step\nm,0");
    let columns: Vec<&str> = sheet.faults.iter().map(|f| f.column.as_str()).collect();
    assert_eq!(
        columns,
        [
            "version",
            "services",
            "from",
            "to",
            "share_next",
            "cap",
            "reason",
            "action"
        ]
    );
}
