//! Requests under an idempotency key.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use http::{Response, StatusCode};
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::document::Digest;
use pomelovale_state::intents::{
    IntentAnswer, IntentBegin, IntentEnd, IntentKey, IntentResult, StoredAnswer, ANSWER_MAX_BYTES,
};
use pomelovale_state::{ErrorKind, Millis, Name};
use pomelovale_transport::body::CallerBody;

use super::refusal::Refusal;
use super::Shared;

/// Longest idempotency key in bytes.
pub const KEY_MAX_BYTES: usize = 256;
// The end of a request is proposed again until it is recorded or these are used up.
const END_ATTEMPTS: usize = 10;
const END_RETRY_MS: u64 = 500;

/// A request that this instance began.
#[derive(Clone, Debug)]
pub struct Intent {
    key: IntentKey,
    owner: Name,
}

/// What the record of a key says.
#[derive(Debug)]
pub enum BeginResult {
    /// The request may be written.
    Run(Intent),
    /// The request ran before, with this answer.
    Replay(Response<CallerBody>),
}

/// Records a request before it is written.
pub async fn begin(
    shared: &Arc<Shared>,
    service: &Name,
    workspace: &Name,
    key: &HeaderValue,
    fingerprint: Digest,
) -> Result<BeginResult, Refusal> {
    if key.is_empty() || key.len() > KEY_MAX_BYTES {
        return Err(ErrorKind::BadRequest.into());
    }
    let digest = Digest::of(&[service.as_bytes(), key.as_bytes()]);
    let intent = Intent {
        key: IntentKey {
            workspace: workspace.clone(),
            key: digest,
        },
        owner: Name::from(shared.unique_id()),
    };
    let command = Command::BeginIntent(IntentBegin {
        key: intent.key.clone(),
        fingerprint,
        owner: intent.owner.clone(),
    });
    let kind = match shared.propose(command).await {
        Ok(Applied::Intent(IntentAnswer::Begin)) => return Ok(BeginResult::Run(intent)),
        Ok(Applied::Intent(IntentAnswer::Done(answer))) => {
            return Ok(BeginResult::Replay(replay(answer)))
        }
        Ok(Applied::Intent(IntentAnswer::Mismatch)) => ErrorKind::IdempotencyMismatch,
        Ok(Applied::Intent(IntentAnswer::Pending)) => ErrorKind::IdempotencyPending,
        Ok(Applied::Intent(IntentAnswer::Unknown)) => ErrorKind::UnknownOutcome,
        Ok(_) => ErrorKind::Internal,
        Err(_) => {
            // The record may have been made although no answer came.
            end(shared, intent, IntentResult::NotRun);
            ErrorKind::Unavailable
        }
    };
    Err(kind.into())
}

/// Records what became of a request, in the background.
pub fn end(shared: &Arc<Shared>, intent: Intent, result: IntentResult) {
    let recorder = shared.clone();
    shared.spawn(async move {
        for _ in 0..END_ATTEMPTS {
            let command = Command::EndIntent(IntentEnd {
                key: intent.key.clone(),
                owner: intent.owner.clone(),
                result: result.clone(),
            });
            if recorder.propose(command).await.is_ok() {
                return;
            }
            tokio::time::sleep(Millis(END_RETRY_MS).duration()).await;
        }
    });
}

/// The record of an answer; one that is passed on in parts is not kept.
pub fn result_of(response: &Response<CallerBody>) -> IntentResult {
    match response.body() {
        CallerBody::Full(body) if body.len() <= ANSWER_MAX_BYTES => {
            let headers = response.headers().iter();
            IntentResult::Answer(StoredAnswer {
                status: response.status().as_u16(),
                headers: headers
                    .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                    .collect(),
                body: body.to_vec(),
            })
        }
        _ => IntentResult::Unknown,
    }
}

fn replay(answer: StoredAnswer) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::Full(Bytes::from(answer.body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in answer.headers {
        let name = HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
