//! Metrics of a process, served in the OpenMetrics text format at a separate address.

use crate::wire::{Request, Status};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use prometheus_client::encoding::{text, EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum number of concurrent readers of the metrics.
const MAX_READERS: usize = 8;
/// Time limit for serving one reader; a reader that takes longer is disconnected.
const READER_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum Kind {
    Consensus,
    Call,
    Renew,
    Read,
    Watch,
    Operator,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    kind: Kind,
}

/// The limit because of which a call or a connection was rejected.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum RejectionReason {
    /// Number of open connections.
    Connections,
    /// Number of calls in progress.
    Calls,
    /// Size of the replies that wait to be written.
    Bytes,
    /// A limit of the state: sessions, locks, waiters, clients or values.
    State,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RejectionLabels {
    why: RejectionReason,
}

/// The metrics of a process. Counters are updated as events happen; gauges are set when the page is
/// requested.
pub struct Metrics {
    registry: Registry,
    calls: Family<RequestLabels, Counter>,
    rejections: Family<RejectionLabels, Counter>,
    expired_sessions: Counter,
    gauges: Gauges,
}

#[derive(Default)]
struct Gauges {
    leads: Gauge,
    has_leader: Gauge,
    term: Gauge,
    voters: Gauge,
    last_log: Gauge,
    applied: Gauge,
    revision: Gauge,
    sessions: Gauge,
    locks: Gauge,
    writes: Gauge,
    syncs: Gauge,
    dropped_frames: Gauge,
}

impl Metrics {
    /// Returns metrics whose counters are zero. `syncs` is the histogram of the durations of the log's writes
    /// with their sync, in seconds.
    pub fn new(syncs: Histogram) -> Metrics {
        let mut registry = Registry::with_prefix("marblecroft_coordination");
        let (calls, rejections, expired_sessions) =
            (Family::default(), Family::default(), Counter::default());
        registry.register("calls", "Calls that came, by kind", Family::clone(&calls));
        registry.register(
            "busy",
            "Calls and connections turned away, by the bound",
            Family::clone(&rejections),
        );
        registry.register("sessions_over", "Sessions whose time was over", Counter::clone(&expired_sessions));
        registry.register_with_unit("sync", "Writes of the log with their sync", Unit::Seconds, syncs);
        let gauges = Gauges::default();
        for (name, help, gauge) in [
            ("leads", "1 while this process leads", &gauges.leads),
            ("has_leader", "1 while it knows who leads", &gauges.has_leader),
            ("term", "Changes of leader, and tries at it", &gauges.term),
            ("voters", "Members that vote", &gauges.voters),
            ("last_log", "The log's last entry", &gauges.last_log),
            ("applied", "The last entry that was applied", &gauges.applied),
            ("revision", "Changes of the state", &gauges.revision),
            ("sessions", "Open sessions", &gauges.sessions),
            ("locks", "Locks that are held", &gauges.locks),
            ("log_writes", "Writes of the log since the start", &gauges.writes),
            ("log_syncs", "Syncs of the log since the start", &gauges.syncs),
            ("dropped_frames", "Frames that were none of this cluster and version", &gauges.dropped_frames),
        ] {
            registry.register(name, help, gauge.clone());
        }
        Metrics { registry, calls, rejections, expired_sessions, gauges }
    }

    /// Counts a request by its kind.
    pub fn count_request(&self, request: &Request) {
        let kind = match request {
            Request::Append(_) | Request::Vote(_) | Request::Install(_) => Kind::Consensus,
            Request::Call { .. } => Kind::Call,
            Request::Renew { .. } => Kind::Renew,
            Request::Read { .. } => Kind::Read,
            Request::Watch { .. } => Kind::Watch,
            _ => Kind::Operator,
        };
        self.calls.get_or_create(&RequestLabels { kind }).inc();
    }

    /// Counts a call or a connection that was rejected.
    pub fn count_rejection(&self, why: RejectionReason) {
        self.rejections.get_or_create(&RejectionLabels { why }).inc();
    }

    /// Counts sessions that have expired.
    pub fn count_expired_sessions(&self, sessions: usize) {
        self.expired_sessions.inc_by(sessions as u64);
    }

    /// Returns the page of metrics, with the given status of this process.
    pub fn page(&self, status: &Status) -> String {
        let gauges = &self.gauges;
        let voters = status.members.iter().filter(|(_, _, votes)| *votes).count();
        for (gauge, value) in [
            (&gauges.leads, u64::from(status.leads)),
            (&gauges.has_leader, u64::from(status.leader.is_some())),
            (&gauges.term, status.term),
            (&gauges.voters, voters as u64),
            (&gauges.last_log, status.last_log.unwrap_or(0)),
            (&gauges.applied, status.applied.unwrap_or(0)),
            (&gauges.revision, status.revision),
            (&gauges.sessions, status.sessions),
            (&gauges.locks, status.locks),
            (&gauges.writes, status.writes),
            (&gauges.syncs, status.syncs),
            (&gauges.dropped_frames, status.dropped_frames),
        ] {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            // Encoding into a string fails only if memory is exhausted.
            Err(e) => format!("# {e}\n"),
        }
    }
}

/// Serves the metrics at `GET /metrics` until dropped, one request per connection. `page` renders them for
/// each request.
pub async fn serve(page: impl Fn() -> String + Clone + 'static, listener: TcpListener) {
    let readers = Arc::new(Semaphore::new(MAX_READERS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(permit) = readers.clone().acquire_owned().await else { return };
        let page = page.clone();
        spawn_local(async move {
            drop(timeout(READER_TIMEOUT, serve_reader(page, stream)).await);
            drop(permit);
        });
    }
}

async fn serve_reader(page: impl Fn() -> String, stream: TcpStream) {
    let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
        let is_page = request.method() == Method::GET && request.uri().path() == "/metrics";
        let text = if is_page { page() } else { String::new() };
        async move {
            let mut response = Response::new(Full::new(Bytes::from(text)));
            if !is_page {
                *response.status_mut() = StatusCode::NOT_FOUND;
            }
            let content_type =
                HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            Ok::<_, Infallible>(response)
        }
    });
    // Errors are ignored: a reader may disconnect at any time.
    drop(http1::Builder::new().keep_alive(false).serve_connection(TokioIo::new(stream), service).await);
}
