//! Checks of a traffic shift that the leader makes before it proposes the step
//! of a move.

use pomelovale_state::command::{Change, Command, Refusal};
use pomelovale_state::document::Document;
use pomelovale_state::moves::{Move, MoveAction, FULL_SHARE};
use pomelovale_state::{ErrorKind, Millis, Name};

use crate::measurements::{Measurements, RegionLoad, MEASUREMENT_AGE_MAX_MS};

/// Time for which callers cache the list of entries.
pub const ENTRY_LIST_TTL_MS: u64 = 5_000;
/// Share of the slots that remain after the loss of the largest failure domain
/// which may be filled after a shift, in percent. The rest is a margin.
pub const SLOT_USE_PERCENT: u64 = 90;
/// Largest share of a link's capacity that a shift may fill, in percent.
pub const LINK_USE_PERCENT: u64 = 80;

/// A shift of traffic between two regions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shift<'a> {
    /// Region that loses traffic.
    pub from: &'a Name,
    /// Region that gains traffic.
    pub to: &'a Name,
    /// Part of the losing region's current traffic that shifts, as numerator and
    /// denominator.
    pub part: (u64, u64),
}

/// Headroom and link use according to the latest measurements, for the status
/// of a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShiftCapacity {
    /// Usable slots in the gaining region that are free. Usable are
    /// [`SLOT_USE_PERCENT`] of the slots that remain after the loss of the largest
    /// failure domain. Negative if more slots are busy.
    pub headroom: i64,
    /// Slots that the shift needs.
    pub needed: u64,
    /// Utilization of the link after the shift, in percent; `None` without a link.
    pub link: Option<u64>,
    /// Age of the oldest measurement in milliseconds.
    pub oldest: u64,
}

/// Checks a change against the measurements. Changes that shift no traffic
/// always pass.
pub fn check(
    document: &Document,
    measurements: &Measurements,
    now: Millis,
    change: &Change,
) -> Result<(), Refusal> {
    let Command::StepMove { name, action } = &change.command else {
        return Ok(());
    };
    let Some(m) = document.moves.get(name) else {
        return Ok(());
    };
    match action {
        MoveAction::Advance { to } if *to < m.steps.len() => {
            check_settled(document, measurements, now, change.at, m)?;
            check_capacity(document, measurements, now, m, to + 1)
        }
        MoveAction::Reverse { to } if *to < m.done => {
            check_settled(document, measurements, now, change.at, m)?;
            check_capacity(document, measurements, now, m, *to)
        }
        MoveAction::Leave { to } if *to < m.done => {
            check_destination_failing(document, measurements, now, m)?;
            check_leave(document, measurements, now, m, *to)
        }
        _ => Ok(()),
    }
}

/// Capacity for a shift of the move from its current step to `done` steps, for
/// the service of the move with the least headroom.
pub fn shift_capacity(
    document: &Document,
    measurements: &Measurements,
    now: Millis,
    m: &Move,
    done: usize,
) -> Option<ShiftCapacity> {
    let shift = shift(m, done)?;
    let capacities = m
        .services
        .iter()
        .map(|s| service_capacity(document, measurements, now, s, &shift));
    let link = link_use(document, measurements, now, m, &shift);
    let least = capacities.min_by_key(|r| r.headroom - r.needed as i64)?;
    Some(ShiftCapacity { link, ..least })
}

fn shift(m: &Move, done: usize) -> Option<Shift<'_>> {
    let (old, new) = (u64::from(m.share()), u64::from(m.share_at(done)));
    let whole = u64::from(FULL_SHARE);
    match (old, new) {
        (o, n) if o < n => Some(Shift {
            from: &m.from,
            to: &m.to,
            part: (n - o, whole - o),
        }),
        (o, n) if o > n => Some(Shift {
            from: &m.to,
            to: &m.from,
            part: (o - n, o),
        }),
        _ => None,
    }
}

// Refusal of a step that the checks hold back.
fn held(text: String) -> Refusal {
    Refusal::new(ErrorKind::MoveHeld, text)
}

fn check_settled(
    document: &Document,
    measurements: &Measurements,
    now: Millis,
    at: Millis,
    m: &Move,
) -> Result<(), Refusal> {
    if m.version == 0 {
        return Ok(());
    }
    let behind = measurements.instances_behind(document, now, m.version);
    match (at.since(m.shifted), behind.first()) {
        (age, _) if age < ENTRY_LIST_TTL_MS => {
            let wait = ENTRY_LIST_TTL_MS - age;
            Err(held(format!(
                "the previous step settles in {wait} ms, when cached entry lists have expired"
            )))
        }
        (_, Some(name)) => Err(held(format!(
            "the previous step is not proven in force on instance {name}"
        ))),
        _ => Ok(()),
    }
}

fn check_capacity(
    document: &Document,
    measurements: &Measurements,
    now: Millis,
    m: &Move,
    done: usize,
) -> Result<(), Refusal> {
    let Some(shift) = shift(m, done) else {
        return Ok(());
    };
    for service in &m.services {
        let source = measurements.load(document, now, service, shift.from);
        check_fresh(service, shift.from, &source)?;
        let target = measurements.load(document, now, service, shift.to);
        check_fresh(service, shift.to, &target)?;
        let capacity = service_capacity(document, measurements, now, service, &shift);
        if capacity.headroom < capacity.needed as i64 {
            return Err(held(format!(
                "service {service} in region {} has headroom for {} slots, but the shift needs {}",
                shift.to, capacity.headroom, capacity.needed
            )));
        }
    }
    match link_use(document, measurements, now, m, &shift) {
        None => Err(held(format!(
            "no link is declared between {} and {}",
            shift.from, shift.to
        ))),
        Some(percent) if percent > LINK_USE_PERCENT => Err(held(format!(
            "the link would be used to {percent}%, over the limit of {LINK_USE_PERCENT}%"
        ))),
        Some(_) => Ok(()),
    }
}

fn check_fresh(service: &Name, region: &Name, load: &RegionLoad) -> Result<(), Refusal> {
    match load.oldest {
        u64::MAX => Err(held(format!(
            "measurements of service {service} in region {region} are missing"
        ))),
        age if age > MEASUREMENT_AGE_MAX_MS => Err(held(format!(
            "measurements of service {service} in region {region} are {age} ms old"
        ))),
        _ => Ok(()),
    }
}

// A move may be undone over several steps at once only if, for any one of its
// services, the destination fails at least half of the requests or has no serving
// backend server. `check_leave` also requires headroom in the source.
fn check_destination_failing(
    document: &Document,
    measurements: &Measurements,
    now: Millis,
    m: &Move,
) -> Result<(), Refusal> {
    let failing = |service: &Name| {
        let load = measurements.load(document, now, service, &m.to);
        let gone = document.serving_backends(service, &m.to).next().is_none();
        gone || (load.oldest <= MEASUREMENT_AGE_MAX_MS
            && load.rate > 0
            && load.failed * 2 >= load.rate)
    };
    match m.services.iter().any(failing) {
        true => Ok(()),
        false => Err(held(format!(
            "region {} is healthy by its measurements; reverse step by step",
            m.to
        ))),
    }
}

fn check_leave(
    document: &Document,
    measurements: &Measurements,
    now: Millis,
    m: &Move,
    to: usize,
) -> Result<(), Refusal> {
    let fits = |done: usize| {
        shift(m, done).is_none_or(|shift| {
            m.services.iter().all(|s| {
                let source = measurements.load(document, now, s, shift.to);
                let capacity = service_capacity(document, measurements, now, s, &shift);
                source.oldest <= MEASUREMENT_AGE_MAX_MS
                    && capacity.headroom >= capacity.needed as i64
            })
        })
    };
    let lowest = (to..m.done).find(|done| fits(*done));
    match lowest {
        Some(done) if done == to => Ok(()),
        Some(done) => Err(held(format!(
            "region {} has headroom only down to {done} steps in force",
            m.from
        ))),
        None => Err(held(format!(
            "region {} has no headroom to take traffic back",
            m.from
        ))),
    }
}

fn service_capacity(
    document: &Document,
    measurements: &Measurements,
    now: Millis,
    service: &Name,
    shift: &Shift<'_>,
) -> ShiftCapacity {
    let source = measurements.load(document, now, service, shift.from);
    let target = measurements.load(document, now, service, shift.to);
    let usable = usable_slots(document, service, shift.to);
    let (part, whole) = shift.part;
    ShiftCapacity {
        headroom: usable as i64 - target.busy as i64,
        needed: (source.busy * part).div_ceil(whole),
        link: None,
        oldest: source.oldest.max(target.oldest),
    }
}

/// Usable slots of a service in a region: [`SLOT_USE_PERCENT`] of those that
/// remain after the loss of its largest failure domain.
fn usable_slots(document: &Document, service: &Name, region: &Name) -> u64 {
    let mut domains = indexmap::IndexMap::<&Name, u64>::new();
    for (_, backend) in document.serving_backends(service, region) {
        *domains.entry(&backend.domain).or_insert(0) += u64::from(backend.slots);
    }
    let total: u64 = domains.values().sum();
    let largest = domains.values().max().copied().unwrap_or(0);
    (total - largest) * SLOT_USE_PERCENT / 100
}

fn link_use(
    document: &Document,
    measurements: &Measurements,
    now: Millis,
    m: &Move,
    shift: &Shift<'_>,
) -> Option<u64> {
    let capacity = u64::from(document.link(&m.from, &m.to)?) * 1_000;
    let (part, whole) = shift.part;
    let extra: u64 = m
        .services
        .iter()
        .map(|s| {
            let bytes = document.services.get(s).map_or(0, |s| s.bytes);
            measurements.load(document, now, s, shift.from).rate * part / whole * bytes * 8 / 1_000
        })
        .sum();
    // A shift forward adds traffic to the link. A reverse takes traffic off it,
    // which is not subtracted, so that the result is an upper bound.
    let used = measurements.link_kbits(document, now, &m.from, &m.to);
    let after = if shift.to == &m.to {
        used + extra
    } else {
        used
    };
    Some((after * 100).div_ceil(capacity.max(1)))
}
