//! Requests with an idempotency key.

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

/// Maximum length of an idempotency key in bytes.
pub const KEY_MAX_BYTES: usize = 256;
// The result of a request is proposed until it is recorded or the attempts are
// used up.
const END_ATTEMPTS: usize = 10;
const END_RETRY_MS: u64 = 500;

/// A recorded intent of this instance.
#[derive(Clone, Debug)]
pub struct Intent {
    key: IntentKey,
    owner: Name,
}

/// Result of [`begin`].
#[derive(Debug)]
pub enum BeginResult {
    /// The request may be sent.
    Run(Intent),
    /// The request ran before and got this response.
    Replay(Response<CallerBody>),
}

/// Records the intent of a request before it is sent.
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
            // The intent may have been recorded although no reply arrived.
            end(shared, intent, IntentResult::NotRun);
            ErrorKind::Unavailable
        }
    };
    Err(kind.into())
}

/// Records the result of a request in the background.
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

/// Returns the result to record for a response. Streamed responses are not stored.
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
