//! Sizes of crash records, as proposed and in the document.

use std::hint::black_box;

use pomelovale_state::command::{Change, Command, CRASH_RECORDS_MAX, QUARANTINE_CRASHES};
use pomelovale_state::document::{CrashRecord, Digest, Document};
use pomelovale_state::{Millis, Name};

use crate::{min_micros, print_fit};

fn size(value: &impl serde::Serialize) -> f64 {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard());
    bytes.expect("it can be encoded").len() as f64
}

fn document(records: usize) -> Document {
    let mut document = Document::default();
    for n in 0..records {
        let mut fingerprint = Digest([0; 32]);
        fingerprint.0[..8].copy_from_slice(&(n as u64).to_le_bytes());
        let crashed = (1..=QUARANTINE_CRASHES).map(|c| Name::from(c.to_string()));
        let record = CrashRecord {
            crashed: crashed.collect(),
            until: Millis(1_000_000_000),
        };
        document.crashes.insert(fingerprint, record);
    }
    document
}

pub fn measure() {
    let command = Command::RecordCrash {
        fingerprint: Digest([7; 32]),
        crash: "1".into(),
    };
    let change = Change {
        request: "edge-north-a-10-0123456789abcdef-01234567-1-0123abcd".into(),
        sender: "edge-north-a-10".into(),
        base: None,
        at: Millis(1_000_000_000),
        command,
    };
    println!("crash record: proposal {:.0} bytes", size(&change));
    let sizes = [0, CRASH_RECORDS_MAX / 4, CRASH_RECORDS_MAX];
    let bytes = sizes.map(|n| (n as f64, size(&document(n))));
    print_fit("document: snapshot, by crash records", "bytes", &bytes);
    let clones = sizes.map(|n| {
        let document = document(n);
        let micros = min_micros(20, || drop(black_box(document.clone())));
        (n as f64, micros)
    });
    print_fit("document: clone, by crash records", "us", &clones);
}
