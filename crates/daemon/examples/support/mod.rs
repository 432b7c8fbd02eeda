//! A mock backend server that counts how often each booking runs.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Processing time of each request, in milliseconds.
const SERVICE_TIME_MS: u64 = 4;

/// Counters shared by all mock backend servers of a run.
#[derive(Debug, Default)]
pub struct BackendRecord {
    /// Number of times each booking ran, by request body.
    pub booking_runs: Mutex<HashMap<String, u32>>,
    /// Number of requests that carried an API key.
    pub requests_with_key: AtomicU64,
}

/// A mock backend server.
#[derive(Debug)]
pub struct MockBackend {
    name: String,
    slots: u32,
    free_slots: Semaphore,
    queued: AtomicU32,
    /// Number of requests served.
    pub served: AtomicU64,
    record: Arc<BackendRecord>,
}

impl MockBackend {
    /// Starts a mock backend server on `address` and returns the address it bound.
    pub async fn start(
        name: &str,
        address: SocketAddr,
        slots: u32,
        record: Arc<BackendRecord>,
    ) -> std::io::Result<(SocketAddr, Arc<MockBackend>)> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let backend = Arc::new(MockBackend {
            name: name.to_owned(),
            slots,
            free_slots: Semaphore::new(slots as usize),
            queued: AtomicU32::new(0),
            served: AtomicU64::new(0),
            record,
        });
        let shared = Arc::clone(&backend);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let backend = Arc::clone(&shared);
                tokio::spawn(async move {
                    let service = service_fn(|request| backend.serve(request));
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok((bound, backend))
    }

    async fn serve(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path() == "/load" {
            return Ok(self.load_response());
        }
        let has_key = request.headers().contains_key("authorization")
            || request.headers().contains_key("x-api-key");
        self.record
            .requests_with_key
            .fetch_add(u64::from(has_key), Ordering::Relaxed);
        self.queued.fetch_add(1, Ordering::Relaxed);
        let slot = self.free_slots.acquire().await;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(SERVICE_TIME_MS)).await;
        let response = self.respond(request).await;
        drop(slot);
        self.served.fetch_add(1, Ordering::Relaxed);
        Ok(response)
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let is_booking = request.method() == http::Method::POST;
        let body = match request.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => return empty_response(StatusCode::BAD_REQUEST),
        };
        if is_booking {
            let mut runs = self
                .record
                .booking_runs
                .lock()
                .unwrap_or_else(|e| e.into_inner());
            *runs.entry(body.clone()).or_insert(0) += 1;
        }
        let text = format!(
            "{{\"server\":\"{}\",\"path\":\"{path}\",\"echo\":\"{body}\"}}\n",
            self.name
        );
        Response::new(Full::new(Bytes::from(text)))
    }

    fn load_response(&self) -> Response<Full<Bytes>> {
        let busy = self.slots - self.free_slots.available_permits() as u32;
        let queued = self.queued.load(Ordering::Relaxed);
        let text = format!(
            "{{\"slots\":{},\"busy\":{busy},\"queued\":{queued}}}",
            self.slots
        );
        Response::new(Full::new(Bytes::from(text)))
    }
}

fn empty_response(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = code;
    response
}
