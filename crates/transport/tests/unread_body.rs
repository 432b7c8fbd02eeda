//! Responses of handlers that leave the body of their request unread.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use pomelovale_transport::body::CallerBody;
use pomelovale_transport::http_server::{Handler, Server, ServerLimits};
use support::{answers, get};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Guards against a close that is not announced after a response to a request whose body
/// was not read, so that the next request on the connection is lost.
#[tokio::test]
async fn unread_body_is_read_or_its_close_is_announced() {
    let handler: Handler = Arc::new(|request, _| {
        Box::pin(async move {
            sleep(Duration::from_millis(50)).await;
            drop(request);
            Response::new(CallerBody::Full(Bytes::from("refused")))
        })
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = Server::start(listener, ServerLimits::default(), handler).unwrap();
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 40000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(20)).await;
    let _ = stream.write_all("x".repeat(40_000).as_bytes()).await;
    let got = answers(&mut stream, 1).await;
    assert_eq!(got.len(), 1);
    if !got[0].closes() {
        let _ = stream.write_all(get("/").as_bytes()).await;
        assert_eq!(
            answers(&mut stream, 1).await.len(),
            1,
            "no answer to the next request"
        );
    }
}
