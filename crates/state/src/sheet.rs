//! The move sheet: a CSV file with one row per step of each move, and a column
//! for the action that an operator requests.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::command::{Change, Command};
use crate::digest::Digest;
use crate::moves::{Move, MoveAction, MoveState, Step};
use crate::{Millis, Name};

/// The columns in order.
pub const COLUMNS: [&str; 16] = [
    "move",
    "step",
    "version",
    "state",
    "services",
    "from",
    "to",
    "share_now",
    "share_next",
    "cap",
    "headroom",
    "needed",
    "link_percent",
    "oldest_ms",
    "reason",
    "action",
];

/// The leader's measurements for the next step of a move.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NextStep {
    /// Free slots in the destination region, minus the reserve.
    pub headroom: i64,
    /// Slots that the shift needs.
    pub needed: u64,
    /// Link utilization after the shift, in percent.
    pub link: Option<u64>,
    /// Age of the oldest measurement in milliseconds; `None` if one is missing.
    pub oldest: Option<u64>,
    /// Why the step would be refused now; empty if it would be accepted.
    pub reason: String,
}

/// A move with its version and the leader's measurements.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveStatus {
    /// Name of the move.
    pub name: Name,
    /// Version that the next change must be based on.
    pub version: u64,
    /// The move itself.
    pub plan: Move,
    /// The next step, if there is one.
    pub next: Option<NextStep>,
}

/// An invalid cell or row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CellFault {
    /// Line in the file; the header is line 1.
    pub row: u64,
    /// Column name; empty for the whole row.
    pub column: String,
    /// What is wrong.
    pub text: String,
}

/// A change that is requested by one row, or by all rows of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct RowChange {
    /// Lines in the file.
    pub rows: Vec<u64>,
    /// The change to send.
    pub change: Change,
}

/// A parsed sheet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    /// Changes in the order of their first rows.
    pub changes: Vec<RowChange>,
    /// Invalid cells and rows.
    pub faults: Vec<CellFault>,
    /// Lines without an action.
    pub idle: Vec<u64>,
}

/// Writes the sheet of a list of moves.
pub fn write(moves: &[MoveStatus]) -> Result<String, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(COLUMNS)?;
    for m in moves {
        for step in 0..m.plan.steps.len() {
            writer.write_record(cells(m, step))?;
        }
    }
    let bytes = writer
        .into_inner()
        .map_err(|e| csv::Error::from(e.into_error()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn cells(m: &MoveStatus, step: usize) -> Vec<String> {
    let plan = &m.plan;
    let next = m.next.as_ref().filter(|_| step == plan.done);
    let number = |n: Option<u64>| n.map(|n| n.to_string()).unwrap_or_default();
    let services: Vec<&str> = plan.services.iter().map(Name::as_str).collect();
    let reason = match (step == plan.done, plan.state) {
        (true, MoveState::Held) => plan.reason.clone(),
        (true, MoveState::Open) => next.map(|n| n.reason.clone()).unwrap_or_default(),
        (false, _) => String::new(),
    };
    vec![
        m.name.to_string(),
        step.to_string(),
        m.version.to_string(),
        step_state(plan, step).to_owned(),
        services.join(";"),
        plan.from.to_string(),
        plan.to.to_string(),
        plan.share().to_string(),
        plan.steps[step].share.to_string(),
        plan.steps[step].cap.to_string(),
        next.map(|n| n.headroom.to_string()).unwrap_or_default(),
        number(next.map(|n| n.needed)),
        number(next.and_then(|n| n.link)),
        number(next.and_then(|n| n.oldest)),
        reason,
        String::new(),
    ]
}

fn step_state(plan: &Move, step: usize) -> &'static str {
    match plan.state {
        _ if step < plan.done => "in_force",
        _ if step > plan.done => "waiting",
        MoveState::Held => "held",
        MoveState::Open => "next",
    }
}

/// Parses a sheet into changes. The request identifier of each change is a hash
/// of its sender and content, so that the same sheet can safely be sent again.
pub fn read(text: &str, sender: &Name) -> Sheet {
    let mut sheet = Sheet::default();
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let header: Vec<String> = match reader.headers() {
        Ok(h) => h.iter().map(str::to_owned).collect(),
        Err(e) => {
            sheet
                .faults
                .push(fault(1, "", format!("the header can't be read: {e}")));
            return sheet;
        }
    };
    for column in COLUMNS
        .iter()
        .filter(|c| is_required(c) && !header.iter().any(|h| h == *c))
    {
        sheet
            .faults
            .push(fault(1, column, "the column is missing".to_owned()));
    }
    if !sheet.faults.is_empty() {
        return sheet;
    }
    let mut plans: IndexMap<Name, Vec<Row>> = IndexMap::new();
    for record in reader.records() {
        match record {
            Err(e) => {
                let line = e.position().map_or(0, csv::Position::line);
                sheet.faults.push(fault(line, "", e.to_string()));
            }
            Ok(record) => read_row(&mut sheet, &mut plans, Row::new(&header, &record), sender),
        }
    }
    for (name, rows) in plans {
        read_plan(&mut sheet, &name, &rows, sender);
    }
    sheet.changes.sort_by_key(|c| c.rows[0]);
    sheet
}

fn is_required(column: &str) -> bool {
    !matches!(
        column,
        "state" | "share_now" | "headroom" | "needed" | "link_percent" | "oldest_ms"
    )
}

fn fault(row: u64, column: &str, text: String) -> CellFault {
    CellFault {
        row,
        column: column.to_owned(),
        text,
    }
}

struct Row {
    line: u64,
    cells: IndexMap<String, String>,
}

impl Row {
    fn new(header: &[String], record: &csv::StringRecord) -> Row {
        let line = record.position().map_or(0, csv::Position::line);
        let cells = header
            .iter()
            .cloned()
            .zip(record.iter().map(str::to_owned))
            .collect();
        Row { line, cells }
    }

    fn text(&self, column: &str) -> &str {
        self.cells.get(column).map_or("", String::as_str)
    }

    fn number<T: std::str::FromStr>(&self, column: &str) -> Result<T, CellFault> {
        let text = self.text(column);
        text.parse().map_err(|_| {
            fault(
                self.line,
                column,
                format!("{text:?} is not a whole number in range"),
            )
        })
    }

    fn name(&self, column: &str) -> Result<Name, CellFault> {
        let name = Name::from(self.text(column));
        match name.is_valid() {
            true => Ok(name),
            false => Err(fault(
                self.line,
                column,
                format!("{:?} is not a valid name", name.as_str()),
            )),
        }
    }
}

fn read_row(sheet: &mut Sheet, plans: &mut IndexMap<Name, Vec<Row>>, row: Row, sender: &Name) {
    let action = row.text("action").to_owned();
    match action.as_str() {
        "" => sheet.idle.push(row.line),
        "plan" => match row.name("move") {
            Ok(name) => plans.entry(name).or_default().push(row),
            Err(f) => sheet.faults.push(f),
        },
        action => match read_action(&row, action, sender) {
            Ok(change) => sheet.changes.push(change),
            Err(faults) => sheet.faults.extend(faults),
        },
    }
}

fn read_action(row: &Row, action: &str, sender: &Name) -> Result<RowChange, Vec<CellFault>> {
    let (name, step, version) = (
        row.name("move"),
        row.number::<usize>("step"),
        row.number::<u64>("version"),
    );
    let known = matches!(action, "advance" | "hold" | "leave" | "release" | "reverse");
    let unknown = || fault(row.line, "action", format!("{action:?} is not an action"));
    match (name, step, version) {
        (Ok(name), Ok(step), Ok(version)) if known => {
            let action = match action {
                "advance" => MoveAction::Advance { to: step },
                "hold" => MoveAction::Hold {
                    reason: row.text("reason").to_owned(),
                },
                "leave" => MoveAction::Leave { to: step },
                "release" => MoveAction::Release,
                _ => MoveAction::Reverse { to: step },
            };
            let command = Command::StepMove { name, action };
            Ok(row_change(vec![row.line], sender, version, command))
        }
        (name, step, version) => {
            let faults = [
                name.err(),
                step.err(),
                version.err(),
                (!known).then(unknown),
            ];
            Err(faults.into_iter().flatten().collect())
        }
    }
}

fn read_plan(sheet: &mut Sheet, name: &Name, rows: &[Row], sender: &Name) {
    let mut faults = Vec::new();
    let mut record_fault = |found: Result<Step, CellFault>| found.map_err(|f| faults.push(f)).ok();
    let steps: Vec<Step> = rows
        .iter()
        .filter_map(|row| {
            let share = record_fault(row.number("share_next").map(|share| Step { share, cap: 0 }));
            let cap = record_fault(row.number("cap").map(|cap| Step { share: 0, cap }));
            share.zip(cap).map(|(s, c)| Step {
                share: s.share,
                cap: c.cap,
            })
        })
        .collect();
    let first = &rows[0];
    for (i, row) in rows
        .iter()
        .enumerate()
        .filter(|(i, r)| r.text("step") != i.to_string())
    {
        faults.push(fault(
            row.line,
            "step",
            format!("expected step {i}: a plan lists all steps in order"),
        ));
    }
    for column in ["version", "services", "from", "to"] {
        for row in rows.iter().filter(|r| r.text(column) != first.text(column)) {
            faults.push(fault(
                row.line,
                column,
                "differs from the first row of the move".to_owned(),
            ));
        }
    }
    let services = first
        .text("services")
        .split(';')
        .map(|s| Name::from(s.trim()))
        .collect();
    match (
        first.number("version"),
        first.name("from"),
        first.name("to"),
    ) {
        (Ok(version), Ok(from), Ok(to)) if faults.is_empty() => {
            let command = Command::PutMove {
                name: name.clone(),
                services,
                from,
                to,
                steps,
            };
            let lines = rows.iter().map(|r| r.line).collect();
            sheet
                .changes
                .push(row_change(lines, sender, version, command));
        }
        (version, from, to) => {
            faults.extend([version.err(), from.err(), to.err()].into_iter().flatten());
            sheet.faults.extend(faults);
        }
    }
}

fn row_change(rows: Vec<u64>, sender: &Name, base: u64, command: Command) -> RowChange {
    let change = Change {
        request: Name::default(),
        sender: sender.clone(),
        base: Some(base),
        at: Millis(0),
        command,
    };
    let content = format!("{change:?}");
    let digest = Digest::of(&[content.as_bytes()]).to_string();
    let request = Name::from(&digest[..32]);
    RowChange {
        rows,
        change: Change { request, ..change },
    }
}
