//! The gateway process under test.

use super::{unused_ip, wait_for, Coordinator, Response, HOST, INTERNAL_PORT};
use std::ffi::OsString;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const CLIENT_PORT: u16 = 8166;
const READINESS_PORT: u16 = 8167;
const OPERATOR_PORT: u16 = 8168;
/// Where the gateway's log goes, in its folder.
const LOG_FILE: &str = "log.txt";

/// Names another build of the program, to run these tests against it.
const PROGRAM_VARIABLE: &str = "MARBLECROFT_DATA_PLANE_PROGRAM";

fn program() -> OsString {
    std::env::var_os(PROGRAM_VARIABLE).unwrap_or_else(|| env!("CARGO_BIN_EXE_marblecroft-data-plane").into())
}

/// A running gateway; ended when it is dropped.
pub struct Gateway {
    ip: Ipv4Addr,
    folder: PathBuf,
    process: Child,
}

impl Gateway {
    /// Starts a gateway in zone `a` that pulls from `coordinator`, and waits until it is ready.
    pub fn start(coordinator: &Coordinator) -> Gateway {
        Gateway::start_in_zone("a", coordinator)
    }

    /// Starts a gateway that pulls from `coordinator`, and waits until it is ready.
    pub fn start_in_zone(zone: &str, coordinator: &Coordinator) -> Gateway {
        Gateway::start_with_arguments(zone, coordinator, &[])
    }

    /// Starts a gateway in zone `a` that logs the events of single requests.
    pub fn start_with_request_log(coordinator: &Coordinator) -> Gateway {
        Gateway::start_with_arguments("a", coordinator, &["--log-requests"])
    }

    fn start_with_arguments(zone: &str, coordinator: &Coordinator, arguments: &[&str]) -> Gateway {
        let ip = unused_ip();
        let folder = std::env::temp_dir().join(format!("marblecroft-gateway-{ip}"));
        fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join("settings.conf");
        let settings = format!(
            "node_name=edge-{zone}-1\nip={ip}\nzone={zone}\nzones.{zone}=r\n\
             bind_addresses.front={ip}:{CLIENT_PORT}\n\
             bind_addresses.readiness={ip}:{READINESS_PORT}\n\
             ephemeral_ports={INTERNAL_PORT},{}\nseeds={}:{OPERATOR_PORT}\n",
            INTERNAL_PORT + 15,
            coordinator.ip()
        );
        fs::write(&path, settings).expect("written");
        let process = Command::new(program())
            .arg("gateway")
            .args(arguments)
            .env("MARBLECROFT_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(folder.join(LOG_FILE)).expect("a file"))
            .spawn()
            .expect("starts");
        let gateway = Gateway { ip, folder, process };
        wait_for("readiness", || {
            let address = SocketAddr::from((ip, READINESS_PORT));
            let response = Response::fetch(address, "GET", "/-/ready", &[("Host", "gateway")], "").ok()?;
            (response.status() == 200).then_some(())
        });
        gateway
    }

    /// Returns what the gateway has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join(LOG_FILE)).expect("readable")
    }

    /// Sends a client's request on [`super::STREAM_ROUTE`].
    pub fn post_query(&self, id: &str) -> std::io::Result<Response> {
        let headers = [("Host", HOST), ("X-Request-Id", id), ("X-Timeout-Ms", "2000")];
        self.post("/query/1", &headers, "body")
    }

    /// Sends a client's request.
    pub fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> std::io::Result<Response> {
        let address = SocketAddr::from((self.ip, CLIENT_PORT));
        Response::fetch(address, "POST", path, headers, body)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
