//! Frames, chunks and authentication with malformed and forged input.

use pomelovale_protocol::auth::{nonce, Role, Secret, Session};
use pomelovale_protocol::frame::{
    decode_body, encode, Decoder, FrameError, FRAME_MAX_BYTES, PROTOCOL_VERSION,
};
use pomelovale_protocol::log::{Epoch, LogIndex, Position};
use pomelovale_protocol::messages::{
    split_into_chunks, Chunk, ChunkAssembler, Content, PeerMessage, Renew, CHUNK_BYTES,
};
use pomelovale_state::Name;

fn renew() -> PeerMessage {
    PeerMessage::Renew(Renew {
        seq: 7,
        position: Some(Position {
            epoch: Epoch(3),
            index: LogIndex(9),
        }),
    })
}

fn frame(size: u32, version: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = size.to_be_bytes().to_vec();
    bytes.push(version);
    bytes.extend_from_slice(body);
    bytes
}

fn decode(bytes: &[u8]) -> Result<Option<PeerMessage>, FrameError> {
    let mut decoder = Decoder::new(FRAME_MAX_BYTES);
    decoder.push(bytes);
    decoder.next_message()
}

macro_rules! frames {
    ($($name:ident: $bytes:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(decode(&$bytes), $expected);
        }
    )*};
}

// Guards against bytes that are not a message and make this process panic, block
// or allocate without limit.
frames! {
    no_bytes_wait: [] => Ok(None);
    part_of_a_header_waits: [0, 0, 0] => Ok(None);
    part_of_a_frame_waits: encode(&renew()).unwrap()[..6] => Ok(None);
    a_whole_frame_is_decoded: encode(&renew()).unwrap() => Ok(Some(renew()));
    size_below_the_header: frame(4, PROTOCOL_VERSION, &[]) => Err(FrameError::Malformed);
    empty_body: frame(5, PROTOCOL_VERSION, &[]) => Err(FrameError::Malformed);
    other_version: frame(6, PROTOCOL_VERSION + 1, &[3]) => Err(FrameError::Version);
    other_version_before_the_body: frame(600, 0, &[]) => Err(FrameError::Version);
    size_over_the_limit: frame(FRAME_MAX_BYTES as u32 + 1, PROTOCOL_VERSION, &[]) => Err(FrameError::TooLarge);
    largest_size: frame(u32::MAX, PROTOCOL_VERSION, &[]) => Err(FrameError::TooLarge);
    unknown_message: frame(6, PROTOCOL_VERSION, &[200]) => Err(FrameError::Malformed);
    bytes_left_over: frame(7, PROTOCOL_VERSION, &[3, 0]) => Err(FrameError::Malformed);
    length_inside_the_body_is_forged: frame(15, PROTOCOL_VERSION, &[2, 253, 255, 255, 255, 255, 255, 255, 255, 255]) => Err(FrameError::Malformed);
    http_request: *b"GET / HTTP/1.1\r\n\r\n" => Err(FrameError::Version);
}

// Guards against a decoder whose result depends on how the bytes were split.
#[test]
fn frames_arrive_byte_by_byte() {
    let mut decoder = Decoder::new(FRAME_MAX_BYTES);
    let bytes = [
        encode(&renew()).unwrap(),
        encode(&PeerMessage::Ping).unwrap(),
    ]
    .concat();
    let mut decoded = Vec::new();
    for byte in bytes {
        decoder.push(&[byte]);
        decoded.extend(decoder.next_message::<PeerMessage>().unwrap());
    }
    assert_eq!(decoded, [renew(), PeerMessage::Ping]);
}

// Guards against a panic of the decoder on random bodies.
#[test]
fn random_bodies_never_panic() {
    fn check(body: Vec<u8>) -> bool {
        let _ = decode_body::<PeerMessage>(&body);
        true
    }
    quickcheck::quickcheck(check as fn(Vec<u8>) -> bool);
}

fn session() -> Session {
    Session {
        client: Name::from("e1"),
        role: Role::Entry,
        client_nonce: nonce(),
        server: Name::from("c1"),
        server_nonce: nonce(),
    }
}

fn secret(text: &str) -> Secret {
    Secret::try_from(text.to_string()).unwrap()
}

macro_rules! forgeries {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let (signed, secret) = (session(), secret("a shared secret of peers"));
            let mut seen = signed.clone();
            let change: fn(&mut Session) = $change;
            change(&mut seen);
            let same = seen == signed;
            assert_eq!(seen.verify_client_tag(&secret, &signed.client_tag(&secret)), same);
            assert_eq!(seen.verify_server_tag(&secret, &signed.server_tag(&secret)), same);
            assert!(!seen.verify_server_tag(&secret, &signed.client_tag(&secret)));
        }
    )*};
}

// Guards against a proof that is replayed, reflected, or used under another
// name or role.
forgeries! {
    unchanged_session: |_| {};
    another_client: |s| s.client = Name::from("e2");
    another_role: |s| s.role = Role::Control;
    another_server: |s| s.server = Name::from("c2");
    replayed_client_nonce: |s| s.server_nonce = nonce();
    replayed_server_nonce: |s| s.client_nonce = nonce();
    name_boundary_shifted: |s| (s.client, s.server) = (Name::from("e1c"), Name::from("1"));
}

// Guards against a deployment with a weak secret, and against a secret that is
// written to the log.
#[test]
fn secrets_are_long_and_hidden() {
    assert!(Secret::try_from("short".to_string()).is_err());
    assert_eq!(
        format!("{:?}", secret("a shared secret of peers")),
        "Secret(..)"
    );
    let (signed, other) = (session(), secret("another secret of peers"));
    let tag = signed.client_tag(&secret("a shared secret of peers"));
    assert!(!signed.verify_client_tag(&other, &tag));
}

fn chunk(offset: u64, size: u64, bytes: usize) -> Chunk {
    Chunk {
        content: Content::Log,
        offset,
        size,
        bytes: vec![1; bytes],
    }
}

macro_rules! assemblies {
    ($($name:ident: $chunks:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut assembly = ChunkAssembler::default();
            let joined: Result<Vec<_>, _> =
                $chunks.into_iter().map(|c| assembly.push(c)).collect();
            assert!(joined.is_err());
        }
    )*};
}

// Guards against chunks that overflow an offset, reserve too much memory, or are
// reassembled although one is missing.
assemblies! {
    chunk_past_the_size: [chunk(0, 4, 5)];
    offset_overflows: [chunk(u64::MAX, 4, 5)];
    assembled_size_over_the_limit: [chunk(0, u64::MAX, 5)];
    first_chunk_is_missing: [chunk(5, 10, 5)];
    chunk_is_missing: [chunk(0, 15, 5), chunk(10, 15, 5)];
}

// Guards against a message that differs after it was split and reassembled.
#[test]
fn chunks_join_to_the_same_message() {
    for size in [1, CHUNK_BYTES - 1, CHUNK_BYTES, 3 * CHUNK_BYTES + 5] {
        let body: Vec<u8> = (0..size).map(|i| i as u8).collect();
        let mut assembly = ChunkAssembler::default();
        let mut joined = None;
        for message in split_into_chunks(Content::Log, body.clone().into()) {
            let PeerMessage::Chunk(chunk) = message else {
                panic!("only chunks are sent");
            };
            assert_eq!(joined, None);
            joined = assembly.push(chunk).unwrap();
        }
        assert_eq!(joined, Some((Content::Log, body)));
    }
}
