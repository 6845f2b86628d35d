//! Helpers that start the built service as a process and connect clients to it on loopback sockets.
#![allow(dead_code)] // each test file uses only some of the helpers

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time limit of every wait. Only a failing test waits that long.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < MAX_WAIT, "waited too long until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns a new folder for one test.
pub fn folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("marblecroft-list-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// Removes a folder of a test.
pub fn remove_folder(path: impl AsRef<Path>) {
    // An error is ignored: a folder that remains does no harm, since each test has its own.
    let _ = std::fs::remove_dir_all(path);
}

/// Returns a configuration that listens on an address and stores its journal in a folder.
pub fn config(listen: &str, data: &Path, extra_fields: &str) -> String {
    format!(r#"{{"listen":"{listen}","data":{:?}{extra_fields}}}"#, data.join("data"))
}

/// A running service, which is killed when dropped.
pub struct ServiceProcess {
    pub child: Child,
    pub addr: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl ServiceProcess {
    pub fn start(folder: &Path, config: &str) -> ServiceProcess {
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_marblecroft-discovery"))
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the service starts");
        let log: Arc<Mutex<String>> = Arc::default();
        let (lines, errors) = (log.clone(), child.stderr.take().expect("piped"));
        thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                *lines.lock().unwrap() += &(line + "\n");
            }
        });
        let mut addr = None;
        wait_until("the service listens", || {
            let log = log.lock().unwrap();
            addr = log
                .lines()
                .find_map(|l| l.strip_prefix("marblecroft-discovery: listening on ")?.parse().ok());
            addr.is_some()
        });
        ServiceProcess { child, addr: addr.expect("an address"), log }
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    pub fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("an exit status");
    }

    pub fn terminate(&self) {
        let sent = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the service exits", || {
            status = self.child.try_wait().expect("an exit status");
            status.is_some()
        });
        status.expect("an exit status")
    }
}

impl Drop for ServiceProcess {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Response {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// A client's connection.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn connect(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).expect("connected");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("a read timeout");
        Client(BufReader::new(stream))
    }

    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    /// Reads a response; `None` at the end of the connection.
    pub fn response(&mut self) -> Option<Response> {
        let (mut head, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).ok().filter(|&n| n > 0)?;
            if line == "\r\n" {
                break;
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
            head += &line;
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).ok()?;
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).expect("a status");
        Some(Response { status, head, body: String::from_utf8(body).expect("UTF-8") })
    }

    pub fn get(&mut self, target: &str) -> Response {
        self.write(&format!("GET {target} HTTP/1.1\r\nHost: list\r\n\r\n"));
        self.response().expect("a response")
    }

    pub fn post(&mut self, path: &str, body: &str) -> Response {
        self.write(&format!(
            "POST {path} HTTP/1.1\r\nHost: list\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        self.response().expect("a response")
    }

    pub fn register(&mut self, id: &str, port: u16, extra_fields: &str) -> Response {
        self.post(
            "/discovery/register",
            &format!(r#"{{"id":"{id}","addr":"127.0.0.1:{port}"{extra_fields}}}"#),
        )
    }
}
