//! The platform: its list of model servers (`GET /instances`), and the operator's calls.

use crate::deployment::{Deployment, Record};
use crate::http::{self, Wire};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A model server, as the list shows it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub backend: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub draining: bool,
}

#[derive(Default)]
pub struct State {
    pub servers: Vec<Listed>,
    /// While set, the platform ends during each answer: the connection closes after a part of it. It
    /// ends at another place each time.
    pub ends_in_answers: bool,
}

/// A running platform.
pub struct Platform {
    pub state: Arc<Mutex<State>>,
    pub calls: Arc<AtomicU64>,
}

impl Platform {
    pub fn start(address: SocketAddr, zone: &'static str, record: &Record) -> Platform {
        let state: Arc<Mutex<State>> = Arc::default();
        let calls = Arc::new(AtomicU64::new(0));
        let listener = TcpListener::bind(address).expect("address of the platform");
        let (shared, counter, record) = (state.clone(), calls.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, counter, record) = (shared.clone(), counter.clone(), record.clone());
                thread::spawn(move || serve(stream, zone, &shared, &counter, &record));
            }
        });
        Platform { state, calls }
    }

    pub fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().unwrap_or_else(|e| e.into_inner()));
    }

    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

fn list(servers: &[Listed], zone: &str) -> String {
    let entry = |s: &Listed| {
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"generation\":\"v1\",\
             \"slots\":{},\"state\":\"{}\",\"warmup_left_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"generation\":1,\"lora_adapters\":[]}}],\"id\":\"{}\"}}",
            s.backend,
            s.address,
            zone,
            s.slots,
            if s.draining { "draining" } else { "ready" },
            s.id
        )
    };
    let entries: Vec<String> = servers.iter().map(entry).collect();
    format!("{{\"instances\":[{}],\"next_page_token\":null}}", entries.join(","))
}

/// Answers one call. The answer has no length and ends with its connection, as HTTP/1.1 allows.
fn serve(stream: TcpStream, zone: &str, state: &Mutex<State>, calls: &AtomicU64, record: &Record) {
    let mut wire = Wire::new(stream);
    let Ok(Some(_)) = wire.read_request() else { return };
    let (body, ends) = {
        let state = state.lock().unwrap_or_else(|e| e.into_inner());
        (list(&state.servers, zone), state.ends_in_answers)
    };
    let n = calls.fetch_add(1, Ordering::Relaxed);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n";
    let mut sent = body.len();
    if ends {
        sent = ((n as f64 * 0.618).fract() * body.len() as f64) as usize;
        record.line(&format!("platform: ends after {sent} of {} bytes of its answer", body.len()));
    }
    let _ = wire.write(format!("{head}{}", &body[..sent]).as_bytes());
}

/// The operator: sends a call until it has a clear answer.
pub fn operate(
    deployment: &Deployment,
    record: &Record,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    for_at_most: Duration,
) -> Option<u16> {
    let give_up_at = Instant::now() + for_at_most;
    let mut n = 0;
    let mut next = None;
    while Instant::now() < give_up_at {
        let to = next.take().unwrap_or_else(|| deployment.control(n % deployment.edges.len().min(3)));
        n += 1;
        let answer = http::call(to, "POST", target, headers, body.as_bytes(), Duration::from_secs(1));
        match answer {
            Ok(answer) if answer.status() == 307 => {
                let location = answer.header("location").unwrap_or("").to_owned();
                let host = location.trim_start_matches("http://").split('/').next().unwrap_or("").to_owned();
                next = host.parse().ok();
                continue;
            }
            Ok(answer) if answer.status() < 500 => {
                record.line(&format!("operator: POST {target} {} bytes -> {}", body.len(), answer.status()));
                return Some(answer.status());
            }
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
    None
}

/// Waits until all gateways are ready.
pub fn wait_ready(deployment: &Deployment, for_at_most: Duration) -> bool {
    let give_up_at = Instant::now() + for_at_most;
    let is_ready = |n: usize| {
        let answer =
            http::call(deployment.readiness(n), "GET", "/-/ready", &[("Host", "ready")], b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    };
    while Instant::now() < give_up_at {
        if (0..deployment.edges.len()).all(is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
