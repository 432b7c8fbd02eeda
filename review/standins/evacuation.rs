//! EVAC: an order that a control process received while it was frozen is carried out when it wakes
//! up, and undoes a later one that was acknowledged.

use std::thread::sleep;
use std::time::Duration;

use crate::operator::LOOKUP;
use crate::site::CONTROLS;
use crate::traffic::Traffic;
use crate::{has_trouble, Fault, Stage};

const ZONE: &str = "golden";
/// The control process that is frozen, and the time from the start of the freeze to its end.
const FROZEN: usize = 4;
const FREEZE_S: f64 = 4.0;
/// `evacuate-s`, `contact-window-s`, and a margin for what was under way.
const EVACUATE_S: f64 = 5.0;
const CONTACT_WINDOW_S: f64 = 4.0;
const MARGIN_S: f64 = 1.0;
/// Time for which requests are looked for after that.
const LOOK_S: f64 = 6.0;

pub fn run(stage: &mut Stage) -> Result<bool, Fault> {
    let fronts = stage.site.gateways().iter().map(|n| n.front()).collect();
    let gap = Duration::from_millis(250);
    let limit = Duration::from_secs(8);
    let record = stage.record.clone();
    let traffic = Traffic::start(fronts, LOOKUP, 12, gap, limit, &record);
    sleep(Duration::from_secs(2));
    let others: Vec<usize> = (0..CONTROLS).filter(|n| *n != FROZEN).collect();
    stage.operator.evacuate(true, ZONE, &others)?;
    sleep(Duration::from_secs(6));
    let name = stage.site.nodes[FROZEN].name.clone();
    let frozen_at = record.now();
    if has_trouble() {
        record.say(&format!("{name} is frozen"));
        stage.site.signal(FROZEN, "STOP");
    }
    // The zone is taken back; the operator picks the frozen node first.
    let order = [&[FROZEN][..], &others].concat();
    stage.operator.evacuate(false, ZONE, &order)?;
    sleep(Duration::from_secs(1));
    // It is evacuated again.
    let acked = stage.operator.evacuate(true, ZONE, &others)?;
    sleep(Duration::from_secs_f64(
        (frozen_at + FREEZE_S - record.now()).max(0.0),
    ));
    if has_trouble() {
        stage.site.signal(FROZEN, "CONT");
        record.say(&format!("{name} wakes up"));
    }
    let in_touch = record.now() + CONTACT_WINDOW_S;
    let due = in_touch.max(acked + EVACUATE_S) + MARGIN_S;
    sleep(Duration::from_secs_f64(due + LOOK_S - record.now()));
    let until = record.now();
    let sent = traffic.stop();
    let answered = sent.iter().filter(|s| s.status == 200).count();
    record.say(&format!(
        "{answered} of {} requests were answered with 200",
        sent.len()
    ));
    if answered * 2 < sent.len() {
        return Err("less than half of the requests were served".to_owned());
    }
    let in_zone: Vec<&str> = stage
        .servers
        .iter()
        .filter(|s| s.zone == ZONE)
        .map(|s| &*s.id)
        .collect();
    let late = record.all_reached().into_iter();
    let late = late.filter(|r| r.at > due && r.at < until && in_zone.contains(&&*r.server));
    let late = late.count();
    record.say(&format!(
        "{late} requests reached servers in {ZONE} between {due:.1} s and {until:.1} s; its evacuation was acknowledged at {acked:.3} s and not taken back since"
    ));
    Ok(late > 0)
}
