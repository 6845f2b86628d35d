//! Tests the operator API with a sequence of calls to a real coordinator on the loopback interface.
//! Acknowledged changes must survive a kill of the process. Also tests the error output and exit code of a
//! process that cannot start.

use std::fs;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Time within which a coordinator starts and forms a chain with one member.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Bodies of 503 responses of a coordinator that has just started.
const NO_HEAD: &str = "no head is known at the moment\n";
const STORES_NOT_REPORTED: &str = "the stores have not all been heard from\n";

/// A coordinator process with its own folder and address.
struct Coordinator {
    folder: PathBuf,
    ip: Ipv4Addr,
    process: Option<Child>,
}

impl Coordinator {
    fn new(name: &str, number: u8) -> Coordinator {
        // Every test process uses different loopback addresses.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, high.max(1), low, number);
        let folder = std::env::temp_dir().join(format!("marblecroft-{name}-{}", std::process::id()));
        drop(fs::remove_dir_all(&folder));
        fs::create_dir_all(&folder).expect("a folder");
        Coordinator { folder, ip, process: None }
    }

    fn settings(&self, bootstrap: bool) -> String {
        let (ip, folder) = (self.ip, self.folder.join("data").display().to_string());
        format!(
            "node_name=edge-a-1\nip={ip}\nzone=a\nzones.a=r\nbind_addresses.control_plane={ip}:8166\n\
             ephemeral_ports=7720,7735\nseeds={ip}:8166\nbootstrap={bootstrap}\ndata_dir={folder}\n\
             fault_tolerance.machines=0\n"
        )
    }

    fn command(&self, role: &str, settings: &str) -> Command {
        let path = self.folder.join("boot.conf");
        fs::write(&path, settings).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marblecroft-control-plane"));
        command.arg(role).env("MARBLECROFT_CONFIG", path).stdout(Stdio::null()).stderr(Stdio::null());
        command
    }

    fn start(&mut self, bootstrap: bool) {
        let settings = self.settings(bootstrap);
        self.process = Some(self.command("coordinator", &settings).spawn().expect("starts"));
    }

    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().expect("killed");
            process.wait().expect("ended");
        }
    }

    /// Returns the status and body of the reply to a call, or `None` if there is no reply.
    fn call(&self, method: &str, path: &str, base: Option<&str>, body: &str) -> Option<(u16, String)> {
        let config =
            ureq::Agent::config_builder().http_status_as_error(false).timeout_global(Some(CALL_TIMEOUT));
        let agent: ureq::Agent = config.build().into();
        let url = format!("http://{}:8166{path}", self.ip);
        let sent = if method == "GET" {
            agent.get(url).call()
        } else {
            let post = agent.post(url);
            let post = base.into_iter().fold(post, |post, base| post.header("X-Base-Version", base));
            post.send(body)
        };
        let mut response = sent.ok()?;
        let text = response.body_mut().read_to_string().ok()?;
        Some((response.status().as_u16(), text))
    }

    /// Retries a call, as an operator would, until the body of the reply is none of `transient`.
    fn call_until(&self, call: (&str, &str, Option<&str>, &str), transient: &[&str]) -> (u16, String) {
        let deadline = Instant::now() + START_TIMEOUT;
        let (method, path, base, body) = call;
        loop {
            let reply = self.call(method, path, base, body);
            if let Some(reply) = reply.filter(|reply| !transient.contains(&reply.1.as_str())) {
                return reply;
            }
            assert!(Instant::now() < deadline, "the coordinator did not reply in time");
            std::thread::yield_now();
        }
    }

    /// Reads the configuration, and retries the call until the coordinator has started.
    fn read_configuration(&self) -> (u16, String) {
        self.call_until(("GET", "/-/Config.Read", None, ""), &[NO_HEAD])
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        self.kill();
        drop(fs::remove_dir_all(&self.folder));
    }
}

fn configuration(generation: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"generation\":{generation},\"routes\":[{{\"name\":\"a\",\"hostname\":\"x.example\",\"path_prefix\":\"/p/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":{timeout_ms},\"backend\":\"s\",\"attempts\":1}}],\
         \"services\":[{{\"name\":\"s\"}}],\"limits\":{{}}}}"
    )
}

#[test]
fn operator_calls_get_the_expected_replies_and_acknowledged_changes_survive_a_kill() {
    let mut coordinator = Coordinator::new("operator", 1);
    coordinator.start(true);
    assert_eq!(coordinator.read_configuration(), (503, "there is no configuration yet\n".to_owned()));
    let replace = "/-/Config.Replace";
    let (first, second) = (configuration(3, 2000), configuration(7, 1000));
    let no_timeout = configuration(8, 0);
    let truncated = &second[..second.len() - 9];
    let update = "/-/Config.Update";
    let route_b = "{\"name\":\"b\",\"hostname\":\"x.example\",\"path_prefix\":\"/b/\",\"route_type\":\"batch\",\"backend\":\"s\"}";
    let add_route = format!("{{\"generation\":9,\"upsert\":{{\"routes\":[{route_b}]}}}}");
    let remove_used_service = "{\"generation\":9,\"remove\":{\"services\":[\"s\"]}}";
    let third = configuration(9, 1000).replace("}],\"services\"", &format!("}},{route_b}],\"services\""));
    let calls = [
        ("POST", replace, None, first.as_str(), 400, "X-Base-Version is missing\n"),
        ("POST", replace, Some("x"), &first, 400, "X-Base-Version: expected a whole number\n"),
        ("POST", replace, Some("0"), &first, 200, ""),
        ("POST", replace, Some("0"), &first, 200, ""),
        ("POST", replace, Some("0"), &second, 412, "version 3 is current\n"),
        ("POST", replace, Some("3"), &second, 200, ""),
        ("POST", replace, Some("0"), &first, 200, ""),
        ("POST", replace, Some("7"), &configuration(7, 5), 400, "generation 7 is not higher than 7\n"),
        ("POST", replace, Some("7"), &no_timeout, 400, "route a: timeout_ms is 0\n"),
        ("POST", replace, Some("7"), truncated, 400, "not a configuration: not one whole JSON value\n"),
        ("GET", "/-/Config.Read", None, "", 200, &second),
        ("POST", update, None, &add_route, 400, "X-Base-Version is missing\n"),
        ("POST", update, Some("3"), &add_route, 412, "version 7 is current\n"),
        ("POST", update, Some("7"), "{", 400, "not an update: not one whole JSON value\n"),
        ("POST", update, Some("7"), remove_used_service, 400, "route a: no service is named s\n"),
        ("POST", update, Some("7"), &add_route, 200, ""),
        ("POST", update, Some("7"), &add_route, 200, ""),
        ("POST", update, Some("9"), &add_route, 200, ""),
        ("POST", replace, Some("7"), &configuration(8, 1), 412, "version 9 is current\n"),
        ("GET", "/-/Config.Read", None, "", 200, &third),
        ("GET", update, None, "", 405, "not with this method\n"),
        ("GET", replace, None, "", 405, "not with this method\n"),
        ("GET", "/-/nothing", None, "", 404, "no such call\n"),
        ("POST", "/-/Retire.Start/storage-a-1", None, "{}", 404, "no store machine of this name is known\n"),
        ("GET", "/-/Retire.Read/storage-a-1", None, "", 404, "this machine is not being emptied\n"),
    ];
    for (method, path, base, body, status, text) in calls {
        let reply = coordinator.call_until((method, path, base, body), &[STORES_NOT_REPORTED]);
        assert_eq!(reply, (status, text.to_owned()), "{method} {path} {base:?} {body}");
    }
    coordinator.kill();
    coordinator.start(false);
    assert_eq!(coordinator.read_configuration(), (200, third));
    let reply = coordinator.call("POST", replace, Some("3"), &second).expect("a reply");
    assert_eq!(reply, (200, String::new()), "a resubmitted replacement is acknowledged again");
    let reply = coordinator.call("POST", update, Some("7"), &add_route).expect("a reply");
    assert_eq!(reply, (200, String::new()), "a resubmitted update is acknowledged again");
}

#[test]
fn invalid_settings_are_rejected_in_one_line_with_exit_code_2() {
    let coordinator = Coordinator::new("settings", 2);
    let run = |settings: &str| -> Output {
        let mut command = coordinator.command("check", settings);
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).output().expect("ran")
    };
    let valid = run(&coordinator.settings(true));
    assert_eq!(
        (valid.status.code(), valid.stdout.as_slice()),
        (Some(0), &b"edge-a-1: the settings can be used\n"[..])
    );
    let invalid = run(&coordinator.settings(true).replace("zone=a", "zone="));
    assert_eq!(invalid.status.code(), Some(2));
    assert_eq!(String::from_utf8_lossy(&invalid.stderr), "marblecroft-control-plane: zone is missing\n");
}

#[test]
fn a_role_that_lacks_a_required_setting_names_it_in_one_line_and_exits_with_code_1() {
    let coordinator = Coordinator::new("startup", 3);
    let settings = coordinator.settings(true);
    let cases = [("coordinator", "bind_addresses.control_plane"), ("store", "seeds"), ("store", "data_dir")];
    for (role, key) in cases {
        let is_other = |line: &&str| !line.starts_with(key);
        let incomplete: String = settings.lines().filter(is_other).map(|line| format!("{line}\n")).collect();
        let mut command = coordinator.command(role, &incomplete);
        let output = command.stderr(Stdio::piped()).output().expect("ran");
        assert_eq!(output.status.code(), Some(1), "{role} without {key}");
        let text = format!("marblecroft-control-plane: {key} is missing\n");
        assert_eq!(String::from_utf8_lossy(&output.stderr), text, "{role} without {key}");
    }
}
