//! Stored and sent values in the bytes of earlier builds: `formats/first.txt` was written
//! by 0ef57c59, `formats/second.txt` by f133e7a5, both from `format_samples`.

mod format_samples;

use std::fs;
use std::path::Path;

use format_samples as samples;
use pomelovale_protocol::format::{
    decode_change, decode_document, decode_state, encode_change, encode_document, encode_state,
    is_common, Format, FormatError,
};
use pomelovale_protocol::frame::{decode_body, FRAME_HEADER_BYTES};
use pomelovale_protocol::log::{EntryData, LogMessage};
use pomelovale_protocol::message_format::{decode_message, encode_message};
use pomelovale_protocol::messages::{
    PeerMessage, Proof, Request, Response, TokenReply, TokenRequest,
};
use pomelovale_protocol::report::{LimitReport, Report};
use pomelovale_state::command::{Change, Command};
use pomelovale_state::document::Digest;
use pomelovale_steering::placement::ServerReport;
use pomelovale_steering::server_limit::LimitNotice;

/// The samples of a file whose kind is `kind`, in order.
fn stored(file: &str, kind: &str) -> Vec<Vec<u8>> {
    let text = fs::read_to_string(path(file)).unwrap();
    let rows = text.lines().filter_map(|line| {
        let (name, hex) = line.split_once(' ')?;
        let of_kind = name.split_once('-').is_some_and(|(k, _)| k == kind);
        of_kind.then(|| from_hex(hex))
    });
    rows.collect()
}

fn path(file: &str) -> std::path::PathBuf {
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    tests.join("formats").join(file)
}

fn from_hex(hex: &str) -> Vec<u8> {
    let byte = |i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn finished(limit: LimitNotice) -> PeerMessage {
    PeerMessage::Finished {
        id: 8,
        ended: samples::ended(),
        latency_ms: 30,
        report: ServerReport {
            load: samples::load(),
            limit,
        },
    }
}

fn set_limits() -> Command {
    Command::SetServerLimits(vec![
        ("north-1".into(), Some(2_500)),
        ("south-1".into(), None),
    ])
}

/// The values that the first format has, too.
fn first_messages() -> Vec<PeerMessage> {
    samples::messages(finished(LimitNotice::Unknown))
}

fn second_commands() -> Vec<Command> {
    let mut commands = samples::commands();
    commands.push(set_limits());
    commands
}

fn second_messages() -> Vec<PeerMessage> {
    let mut messages = first_messages();
    messages.push(finished(LimitNotice::Limited(2_500)));
    let limits = vec![LimitReport {
        server: "north-1".into(),
        rate: Some(2_500),
        age_ms: 30,
    }];
    messages.push(PeerMessage::Report(Report {
        limits,
        ..samples::report()
    }));
    messages
}

/// Guards against a type that is stored or sent and changes without a new format: its
/// bytes differ from those of f133e7a5, which builds beside this one read and write.
#[test]
fn values_have_the_bytes_of_the_second_format() {
    let samples = samples::encode(&second_commands(), &second_messages());
    let expected = fs::read_to_string(path("second.txt")).unwrap();
    for (line, sample) in expected.lines().zip(&samples) {
        let current = samples::to_text(std::slice::from_ref(sample));
        assert_eq!(current.trim_end(), line, "{} needs a new format", sample.0);
    }
    assert_eq!(expected.lines().count(), samples.len());
}

/// Guards against a pace in the message that builds without it read, and against one that is lost
/// on the way to the others.
#[test]
fn pace_is_sent_in_a_message_of_its_own() {
    let with_pace = |message: PeerMessage| match message {
        PeerMessage::Finished {
            id,
            ended,
            latency_ms,
            report,
        } => PeerMessage::Finished {
            id,
            ended,
            latency_ms,
            report: report.with_pace(250),
        },
        other => other,
    };
    let plain = finished(LimitNotice::Unknown);
    let paced = with_pace(plain.clone());
    assert_ne!(paced, plain);
    for format in [Format::First, Format::Second] {
        let bytes = |message| encode_message(message, format).unwrap();
        assert_eq!(bytes(&paced), bytes(&plain));
    }
    let message = PeerMessage::FinishedPaced {
        id: 8,
        ended: samples::ended(),
        latency_ms: 30,
        report: ServerReport::default(),
        pace: 250,
    };
    let frame = encode_message(&message, Format::Second).unwrap();
    let body = &frame[FRAME_HEADER_BYTES..];
    assert_eq!(body[0], 12, "the index that other builds know");
    assert_eq!(decode_body::<PeerMessage>(body).unwrap(), message);
}

/// Guards against a variant that is added to an enum without a sample, and without a new
/// format: builds that lack it can't read it. A new variant doesn't compile here.
#[test]
fn all_variants_have_samples() {
    fn command(command: &Command) -> usize {
        match command {
            Command::Batch(_) => 0,
            Command::BeginIntent(_) => 1,
            Command::ChangeBlocks(_) => 2,
            Command::ClearCrash(_) => 3,
            Command::EndIntent(_) => 4,
            Command::EvacuateDomain(_) => 5,
            Command::PutBackend { .. } => 6,
            Command::PutInstance { .. } => 7,
            Command::PutKey { .. } => 8,
            Command::PutLinks(_) => 9,
            Command::PutMove { .. } => 10,
            Command::PutRegion { .. } => 11,
            Command::PutService { .. } => 12,
            Command::PutSite { .. } => 13,
            Command::PutWorkspace { .. } => 14,
            Command::ReadmitDomain(_) => 15,
            Command::RecordCrash { .. } => 16,
            Command::RemoveBackend(_) => 17,
            Command::RemoveInstance(_) => 18,
            Command::ReplaceRouting { .. } => 19,
            Command::SetBackend { .. } => 20,
            Command::SetInstance { .. } => 21,
            Command::SetServerLimits(_) => 22,
            Command::StepMove { .. } => 23,
            Command::RevokeKey(_) => 24,
        }
    }
    fn message(message: &PeerMessage) -> usize {
        match message {
            PeerMessage::Call { .. } => 0,
            PeerMessage::Chunk(_) => 1,
            PeerMessage::Log(_) => 2,
            PeerMessage::Finished { .. } => 3,
            PeerMessage::Ping => 4,
            PeerMessage::Place { .. } => 5,
            PeerMessage::Placed { .. } => 6,
            PeerMessage::Proof(_) => 7,
            PeerMessage::Renew(_) => 8,
            PeerMessage::Reply { .. } => 9,
            PeerMessage::Report(_) => 10,
            PeerMessage::List(_) => 11,
            PeerMessage::FinishedPaced { .. } => 12,
            PeerMessage::Loads { .. } => 13,
            PeerMessage::Schedule { .. } => 14,
            PeerMessage::Waiting { .. } => 15,
            PeerMessage::Regions(_) => 16,
        }
    }
    fn request(request: &Request) -> usize {
        match request {
            Request::Admit(_) => 0,
            Request::Grant(_) => 1,
            Request::Propose(_) => 2,
            Request::Status => 3,
            Request::Tokens(_) => 4,
        }
    }
    fn response(response: &Response) -> usize {
        match response {
            Response::Admitted(_) => 0,
            Response::Applied(_) => 1,
            Response::Failed(_) => 2,
            Response::Grant(_) => 3,
            Response::Status(_) => 4,
            Response::Tokens(_) => 5,
        }
    }
    fn log_message(message: &LogMessage) -> usize {
        match message {
            LogMessage::Announce { .. } => 0,
            LogMessage::Append { .. } => 1,
            LogMessage::AppendReply { .. } => 2,
            LogMessage::HandOver { .. } => 3,
            LogMessage::Install { .. } => 4,
            LogMessage::PreVote { .. } => 5,
            LogMessage::PreVoteReply { .. } => 6,
            LogMessage::Vote { .. } => 7,
            LogMessage::VoteReply { .. } => 8,
            LogMessage::Relay { .. } => 9,
        }
    }
    fn entry(data: &EntryData) -> usize {
        match data {
            EntryData::Change(_) => 0,
            EntryData::Empty => 1,
            EntryData::Members(_) => 2,
        }
    }
    fn covers(kind: &str, count: usize, found: impl Iterator<Item = usize>) {
        let found: std::collections::BTreeSet<usize> = found.collect();
        assert_eq!(found, (0..count).collect(), "{kind}");
    }
    let commands = [samples::removals(), second_commands()].concat();
    covers("commands", 25, commands.iter().map(command));
    let messages = second_messages();
    covers("messages", 11, messages.iter().map(message));
    let calls = messages.iter().filter_map(|m| match m {
        PeerMessage::Call { request: r, .. } => Some(request(r)),
        _ => None,
    });
    covers("requests", 4, calls);
    let replies = messages.iter().filter_map(|m| match m {
        PeerMessage::Reply { response: r, .. } => Some(response(r)),
        _ => None,
    });
    covers("responses", 5, replies);
    covers(
        "log messages",
        10,
        samples::log_messages().iter().map(log_message),
    );
    covers(
        "entries",
        3,
        samples::entries().iter().map(|e| entry(&e.data)),
    );
}

/// Guards against a change of an earlier build that is lost or read as another one, and
/// against changes that builds of the first format can't read.
#[test]
fn changes_of_both_formats_are_read_and_written() {
    let first = stored("first.txt", "change");
    let changes = samples::changes(&samples::commands());
    assert_eq!(first.len(), changes.len());
    for (bytes, change) in first.iter().zip(&changes) {
        let format = (!is_common(&change.command)).then_some(Format::First);
        assert_eq!(decode_change(bytes), Ok((change.clone(), format)));
        assert_eq!(encode_change(change, Format::First).as_ref(), Some(bytes));
    }
    let second = stored("second.txt", "change");
    let changes = samples::changes(&second_commands());
    assert_eq!(second.len(), changes.len());
    for (bytes, change) in second.iter().zip(&changes) {
        let format = (!is_common(&change.command)).then_some(Format::Second);
        assert_eq!(decode_change(bytes), Ok((change.clone(), format)));
        assert_eq!(encode_change(change, Format::Second).as_ref(), Some(bytes));
    }
    let limits = samples::change("r", set_limits());
    assert_eq!(encode_change(&limits, Format::First), None);
}

/// Guards against a document or snapshot of an earlier build that is lost, and against
/// ones that builds of the first format can't read.
#[test]
fn states_of_both_formats_are_read_and_written() {
    let machine = samples::machine(&samples::commands());
    let state = (machine.clone(), samples::position());
    let [document, encoded] = ["document", "state"].map(|kind| stored("first.txt", kind).remove(0));
    let read = decode_document(&document).unwrap();
    assert_eq!(read, (machine.document.clone(), Format::First));
    assert_eq!(
        encode_document(&machine.document, Format::First),
        Ok(document)
    );
    assert_eq!(decode_state(&encoded), Ok((state, Some(Format::First))));
    let written = encode_state(&machine, samples::position(), Format::First);
    assert_eq!(written, Ok(encoded));

    let limited = samples::machine(&second_commands());
    let [document, encoded] =
        ["document", "state"].map(|kind| stored("second.txt", kind).remove(0));
    let read = decode_document(&document).unwrap();
    assert_eq!(read, (limited.document.clone(), Format::Second));
    assert_eq!(
        encode_document(&limited.document, Format::Second),
        Ok(document)
    );
    let first = encode_document(&limited.document, Format::First).unwrap();
    let (without, format) = decode_document(&first).unwrap();
    assert!(without.limits.is_empty() && format == Format::First);
    let state = (limited.clone(), samples::position());
    assert_eq!(decode_state(&encoded), Ok((state, Some(Format::Second))));
    for format in [Format::First, Format::Second] {
        let written = encode_state(&limited, samples::position(), format);
        assert_eq!(written.as_ref(), Ok(&encoded), "limits are never dropped");
    }
}

fn body(message: &PeerMessage, format: Format) -> Vec<u8> {
    encode_message(message, format).unwrap()[FRAME_HEADER_BYTES..].to_vec()
}

/// Guards against a peer of an earlier build whose messages are refused or read as
/// others, and against messages that it can't read.
#[test]
fn messages_of_both_formats_are_read_and_written() {
    for (file, format, messages) in [
        ("first.txt", Format::First, first_messages()),
        ("second.txt", Format::Second, second_messages()),
    ] {
        let stored = stored(file, "message");
        assert_eq!(stored.len(), messages.len());
        for (bytes, message) in stored.iter().zip(&messages) {
            for known in [None, Some(Format::First), Some(Format::Second)] {
                let (read, found) = decode_message(bytes, known).unwrap();
                assert_eq!(&read, message);
                assert!(found.is_none_or(|found| found == format), "{message:?}");
            }
            assert_eq!(&body(message, format), bytes);
        }
    }
}

/// Guards against a report of an earlier build that doesn't show its format.
#[test]
fn reports_show_the_format_of_a_peer() {
    for format in [Format::First, Format::Second] {
        for report in [samples::report(), Report::default()] {
            let bytes = body(&PeerMessage::Report(report), format);
            assert_eq!(decode_message(&bytes, None).unwrap().1, Some(format));
        }
    }
}

/// Guards against limits that make a subscriber of the first format miss a version, or
/// that it can't read.
#[test]
fn limits_are_a_change_without_effect_in_the_first_format() {
    let mut proof: Proof = samples::proof();
    let batch = Command::Batch(vec![
        set_limits(),
        Command::EvacuateDomain("north-a".into()),
    ]);
    for (delta, command) in proof.changes.iter_mut().zip([set_limits(), batch]) {
        let delta = std::sync::Arc::make_mut(delta);
        delta.change = samples::change("limits", command);
    }
    let bytes = body(&PeerMessage::Proof(proof.clone()), Format::First);
    let (PeerMessage::Proof(read), _) = decode_message(&bytes, Some(Format::First)).unwrap() else {
        panic!("another message was read");
    };
    let commands: Vec<Command> = read
        .changes
        .iter()
        .map(|d| d.change.command.clone())
        .collect();
    let nothing = Command::ClearCrash(Digest([0; 32]));
    let evacuate = Command::EvacuateDomain("north-a".into());
    let expected = [nothing.clone(), Command::Batch(vec![nothing, evacuate])];
    assert_eq!(commands, expected);
    let versions = |proof: &Proof| proof.changes.iter().map(|d| d.version).collect::<Vec<_>>();
    assert_eq!(versions(&read), versions(&proof));
}

/// Guards against data of a later format that is taken for damage, and is refused without
/// the name of the build that wrote it.
#[test]
fn later_formats_are_refused_by_name() {
    let bytes = b"\xff\x09\x031.4\x01\x02";
    let later = FormatError::Later {
        number: 9,
        build: "1.4".to_owned(),
    };
    assert_eq!(decode_change(bytes), Err(later.clone()));
    assert_eq!(decode_state(bytes), Err(later.clone()));
    assert_eq!(decode_document(bytes), Err(later));
    assert_eq!(decode_change(b"\xff\x09"), Err(FormatError::Malformed));
    assert!(decode_body::<Change>(bytes).is_err());
}

/// Guards against changes that are read although bytes are missing or left over. Of those
/// whose bytes differ between formats, a part can be a whole change of the other format;
/// the checksums of frames find those.
#[test]
fn incomplete_changes_are_refused() {
    for file in ["first.txt", "second.txt"] {
        for bytes in stored(file, "change") {
            let (change, _) = decode_change(&bytes).unwrap();
            let mut longer = bytes.clone();
            longer.push(0);
            assert!(decode_change(&longer).is_err(), "{change:?}");
            for length in 0..bytes.len() {
                let read = decode_change(&bytes[..length]);
                assert!(
                    read.is_err() || !is_common(&change.command),
                    "{change:?} as {read:?}"
                );
            }
        }
    }
}

/// Guards against requests for tokens and their answers that builds beside this one read as
/// others. They are sent only to peers that say that they know them.
#[test]
fn messages_about_tokens_keep_their_bytes() {
    let request = Request::Tokens(TokenRequest {
        workspace: "w".into(),
        count: 3,
        waiting: true,
    });
    let refused = TokenReply::Refused {
        retry_ms: 40,
        is_over: true,
    };
    let granted = TokenReply::Granted {
        count: 3,
        life_ms: 250,
    };
    let reply = |reply| PeerMessage::Reply {
        id: 1,
        response: Response::Tokens(reply),
    };
    for (message, bytes) in [
        (
            PeerMessage::Call { id: 1, request },
            &b"\x00\x01\x04\x01w\x03\x01"[..],
        ),
        (reply(granted), b"\x09\x01\x05\x00\x03\xfa"),
        (reply(refused), b"\x09\x01\x05\x01\x28\x01"),
        (reply(TokenReply::Waiting), b"\x09\x01\x05\x02"),
    ] {
        assert_eq!(body(&message, Format::Second), bytes);
        assert_eq!(decode_message(bytes, None), Ok((message, None)));
    }
}
