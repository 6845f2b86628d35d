use super::{AttemptError, ConnectionPool, UpstreamRequest};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use marblecroft_protocol::servers::Server;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

const END_OF_HEAD: &[u8] = b"\r\n\r\n";

fn server(address: SocketAddr) -> Server {
    Server {
        id: "server".to_owned(),
        backend: "service".to_owned(),
        address,
        zone: "a".to_owned(),
        slots: 1,
        draining: false,
        warmup_left_ms: 0,
    }
}

fn request() -> UpstreamRequest {
    UpstreamRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        allows_reexecution: true,
    }
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(END_OF_HEAD) {
        head.push(stream.read_u8().await.expect("a byte"));
    }
}

/// Responds to the first request. Reads the second, and disappears.
async fn run_server(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    read_head(&mut stream).await;
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("written");
    read_head(&mut stream).await;
    drop(listener);
}

// The retry could not connect, and the attempt counted as not sent although its first request had been read.
#[test]
fn a_request_that_was_read_counts_as_possibly_executed_when_its_retry_cannot_be_sent() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let server = server(listener.local_addr().expect("bound"));
        let serving = spawn_local(run_server(listener));
        let pool = ConnectionPool::default();
        let first = pool.send(&server, &request(), || true).await.expect("a response");
        let (head, body) = first.response.into_parts();
        body.collect().await.expect("a complete body");
        pool.put_back(&server, first.connection, &head.headers, 0);
        // The pool reuses no connection earlier.
        sleep(super::super::pool::REUSE_DELAY).await;
        let second = pool.send(&server, &request(), || true).await;
        assert_eq!(second.err(), Some(AttemptError::MayHaveExecuted));
        serving.await.expect("the second request was read");
    });
}
