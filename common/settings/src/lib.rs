//! The settings file of one process: lines of the form `key=value`, lists joined by commas.
//!
//! [`Settings::parse`] reads and checks the whole file. Unknown keys are ignored; a value that cannot be used is refused
//! with an [`Error`] that names the key, the value and what is allowed.
#![forbid(unsafe_code)]

mod error;
mod fields;

pub use error::Error;
use fields::Fields;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "MARBLECROFT_CONFIG";

/// Addresses on which outside parties call this process; each is present only where its role serves it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BindAddresses {
    /// Clients' requests.
    pub front: Option<SocketAddr>,
    /// The platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// The operator's API.
    pub control_plane: Option<SocketAddr>,
}

/// What the platform allows the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub memory_mb: u64,
    pub max_open_files: u64,
    /// Zero where the machine has no disk.
    pub disk_mb: u64,
}

/// Bounds that the rules in force set, as durations unless said otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub contact: Duration,
    pub ack_timeout: Duration,
    pub catch_up: Duration,
    pub drain_timeout: Duration,
    pub grace_period: Duration,
    pub config_apply: Duration,
    pub cancel: Duration,
    pub settle: Duration,
    /// How long results of a batch job stay readable after it was sent.
    pub status: Duration,
    /// Share of `max_queued_tokens` by which the sum may be exceeded.
    pub quota_overage: f64,
}

/// The platform's list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudApi {
    pub address: SocketAddr,
    /// Calls a second that it accepts, from all processes together.
    pub rate_per_s: f64,
    pub max_lag: Duration,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node_name: String,
    pub ip: std::net::Ipv4Addr,
    pub zone: String,
    /// All zones of the deployment.
    pub zones: Vec<String>,
    pub bind: BindAddresses,
    /// First and last port for communication between processes of this project.
    pub ephemeral_ports: (u16, u16),
    /// Addresses of the operator's API of up to three machines.
    pub seeds: Vec<SocketAddr>,
    /// True only at the first start of the whole system.
    pub bootstrap: bool,
    pub limits: Limits,
    pub data_dir: Option<PathBuf>,
    /// Counted machines that may be lost at once.
    pub tolerated_machines: usize,
    pub bounds: Bounds,
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|cause| Error::Unreadable(path.to_owned(), cause))?;
        Settings::parse(&text)
    }

    /// Reads the file that [`PATH_VARIABLE`] names.
    pub fn load_from_environment() -> Result<Settings, Error> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(Error::NoPath)?;
        Settings::load(Path::new(&path))
    }

    /// Reads and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Settings, Error> {
        let fields = Fields::parse(text)?;
        let seconds = |key, default| fields.seconds(key, default);
        let millis = |key, default| fields.millis(key, default);
        let bounds = Bounds {
            contact: millis("bounds.contact_ms", 3000.0)?,
            ack_timeout: millis("bounds.ack_timeout_ms", 4000.0)?,
            catch_up: seconds("bounds.catch_up_s", 5.0)?,
            drain_timeout: millis("bounds.drain_timeout_ms", 3000.0)?,
            grace_period: seconds("bounds.grace_period_s", 8.0)?,
            config_apply: millis("bounds.config_apply_ms", 2000.0)?,
            cancel: millis("bounds.cancel_ms", 3000.0)?,
            settle: millis("bounds.settle_ms", 1000.0)?,
            status: seconds("bounds.status_s", 120.0)?,
            quota_overage: fields.fraction("bounds.quota_overage", 0.0)?,
        };
        let limits = Limits {
            memory_mb: fields.whole("limits.memory_mb", 256)?,
            max_open_files: fields.whole("limits.max_open_files", 1024)?,
            disk_mb: fields.whole("limits.disk_mb", 0)?,
        };
        let bind = BindAddresses {
            front: fields.address("bind_addresses.front")?,
            readiness: fields.address("bind_addresses.readiness")?,
            control_plane: fields.address("bind_addresses.control_plane")?,
        };
        let cloud_api = match fields.address("cloud_api.address")? {
            Some(address) => Some(CloudApi {
                address,
                rate_per_s: fields.fraction("cloud_api.rate_per_s", 10.0)?,
                max_lag: millis("cloud_api.max_lag_ms", 0.0)?,
            }),
            None => None,
        };
        Ok(Settings {
            node_name: fields.required("node_name")?.to_owned(),
            ip: fields.ip("ip")?,
            zone: fields.required("zone")?.to_owned(),
            zones: fields.names_below("zones."),
            bind,
            ephemeral_ports: fields.ports("ephemeral_ports")?,
            seeds: fields.addresses("seeds")?,
            bootstrap: fields.flag("bootstrap", false)?,
            limits,
            data_dir: fields.optional("data_dir").map(PathBuf::from),
            tolerated_machines: usize::try_from(fields.whole("fault_tolerance.machines", 0)?).unwrap_or(0),
            bounds,
            cloud_api,
        })
    }
}
