//! The settings of a process and their keys.

use crate::error::Error;
use crate::fields::Fields;
use crate::ports::PortRange;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "MARBLECROFT_CONFIG";

/// Addresses on which the process serves external clients. Each is set only if the process's role uses it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BindAddresses {
    /// For clients' requests (`bind_addresses.front`).
    pub frontend: Option<SocketAddr>,
    /// For the platform's readiness checks (`bind_addresses.readiness`).
    pub readiness: Option<SocketAddr>,
    /// For the operator's API (`bind_addresses.control_plane`).
    pub control_plane: Option<SocketAddr>,
}

impl BindAddresses {
    fn parse(fields: &Fields<'_>) -> Result<BindAddresses, Error> {
        Ok(BindAddresses {
            frontend: fields.address("bind_addresses.front")?,
            readiness: fields.address("bind_addresses.readiness")?,
            control_plane: fields.address("bind_addresses.control_plane")?,
        })
    }
}

/// Resources that the platform allocates to the process. No process reads them yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Memory in MB (`limits.memory_mb`). Default: 256.
    pub memory_mb: u64,
    /// Open file descriptors (`limits.max_open_files`). Default: 1024.
    pub max_open_files: u64,
    /// Disk space in MB (`limits.disk_mb`); 0, the default, if the machine has no disk.
    pub disk_mb: u64,
}

impl Limits {
    fn parse(fields: &Fields<'_>) -> Result<Limits, Error> {
        Ok(Limits {
            memory_mb: fields.integer("limits.memory_mb", 256)?,
            max_open_files: fields.integer("limits.max_open_files", 1024)?,
            disk_mb: fields.integer("limits.disk_mb", 0)?,
        })
    }
}

/// Time limits and an overage limit that the operator sets. Each key ends in the unit of its value, except
/// `bounds.quota_overage`, which has none.
///
/// No process uses `contact`, `ack_timeout`, `catch_up`, `drain_timeout`, `cancel` and
/// `settle` yet; they are parsed so that an invalid value is rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// `bounds.contact_ms`. Default: 3 s.
    pub contact: Duration,
    /// `bounds.ack_timeout_ms`. Default: 4 s.
    pub ack_timeout: Duration,
    /// Time within which a member that was unreachable catches up (`bounds.catch_up_s`). Default: 5 s.
    pub catch_up: Duration,
    /// `bounds.drain_timeout_ms`. Default: 3 s.
    pub drain_timeout: Duration,
    /// Time from the termination signal until the process is killed (`bounds.grace_period_s`). Default: 8 s.
    pub grace_period: Duration,
    /// `bounds.config_apply_ms`. Default: 2 s.
    pub config_apply: Duration,
    /// `bounds.cancel_ms`. Default: 3 s.
    pub cancel: Duration,
    /// `bounds.settle_ms`. Default: 1 s.
    pub settle: Duration,
    /// Time after the submission of a batch job during which its results can be read (`bounds.status_s`).
    /// Default: 120 s.
    pub status: Duration,
    /// Fraction of a route's `max_queued_tokens` by which the queued tokens may exceed it
    /// (`bounds.quota_overage`). Default: 0.
    pub quota_overage: f64,
}

impl Bounds {
    fn parse(fields: &Fields<'_>) -> Result<Bounds, Error> {
        Ok(Bounds {
            contact: fields.milliseconds("bounds.contact_ms", 3000.0)?,
            ack_timeout: fields.milliseconds("bounds.ack_timeout_ms", 4000.0)?,
            catch_up: fields.seconds("bounds.catch_up_s", 5.0)?,
            drain_timeout: fields.milliseconds("bounds.drain_timeout_ms", 3000.0)?,
            grace_period: fields.seconds("bounds.grace_period_s", 8.0)?,
            config_apply: fields.milliseconds("bounds.config_apply_ms", 2000.0)?,
            cancel: fields.milliseconds("bounds.cancel_ms", 3000.0)?,
            settle: fields.milliseconds("bounds.settle_ms", 1000.0)?,
            status: fields.seconds("bounds.status_s", 120.0)?,
            quota_overage: fields.non_negative("bounds.quota_overage", 0.0)?,
        })
    }
}

/// The platform's API that lists the model servers.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudApi {
    /// Address of the API (`cloud_api.address`).
    pub address: SocketAddr,
    /// Calls per second that the API accepts from all processes in total (`cloud_api.rate_per_s`).
    /// Default: 10.
    pub rate_per_s: f64,
    /// Longest time by which a listing may lag behind the servers' state (`cloud_api.max_lag_ms`).
    /// Default: 0. No process uses it yet.
    pub max_lag: Duration,
}

impl CloudApi {
    fn parse(fields: &Fields<'_>) -> Result<Option<CloudApi>, Error> {
        let Some(address) = fields.address("cloud_api.address")? else { return Ok(None) };
        Ok(Some(CloudApi {
            address,
            rate_per_s: fields.non_negative("cloud_api.rate_per_s", 10.0)?,
            max_lag: fields.milliseconds("cloud_api.max_lag_ms", 0.0)?,
        }))
    }
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the machine (`node_name`); required.
    pub node_name: String,
    /// Address of the machine (`ip`); required.
    pub ip: Ipv4Addr,
    /// Zone of the machine (`zone`); required.
    pub zone: String,
    /// All zones of the deployment: the names that follow `zones.` in the keys.
    pub zones: Vec<String>,
    /// Addresses for external clients.
    pub bind: BindAddresses,
    /// Ports for communication between processes of this project (`ephemeral_ports`, `FIRST,LAST`); required.
    pub ephemeral_ports: PortRange,
    /// Addresses of the operator API on up to three machines (`seeds`). Default: none.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the deployment (`bootstrap`). Default: false.
    pub bootstrap: bool,
    /// Resources of the process.
    pub limits: Limits,
    /// Directory for durable data (`data_dir`); `None` if the process has no disk.
    pub data_dir: Option<PathBuf>,
    /// Number of machines that may fail at the same time (`fault_tolerance.machines`). Default: 0.
    pub tolerated_machines: usize,
    /// Limits that the operator sets.
    pub bounds: Bounds,
    /// The platform's API; `None` if the process does not read it.
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|cause| Error::Unreadable(path.to_owned(), cause))?;
        Settings::parse(&text)
    }

    /// Reads and parses the file that [`PATH_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// Returns an error if the variable is not set, or the file cannot be read or parsed.
    pub fn load_from_environment() -> Result<Settings, Error> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(Error::NoPath(PATH_VARIABLE))?;
        Settings::load(Path::new(&path))
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error for the first fault found: a line without `=`, a missing key, or an invalid value.
    pub fn parse(text: &str) -> Result<Settings, Error> {
        let fields = Fields::parse(text)?;
        // If there are several faults, this order determines which one is reported.
        let bounds = Bounds::parse(&fields)?;
        let limits = Limits::parse(&fields)?;
        let bind = BindAddresses::parse(&fields)?;
        let cloud_api = CloudApi::parse(&fields)?;
        Ok(Settings {
            node_name: fields.required("node_name")?.to_owned(),
            ip: fields.ip("ip")?,
            zone: fields.required("zone")?.to_owned(),
            zones: fields.keys_with_prefix("zones."),
            bind,
            ephemeral_ports: fields.port_range("ephemeral_ports")?,
            seeds: fields.addresses("seeds")?,
            bootstrap: fields.boolean("bootstrap", false)?,
            limits,
            data_dir: fields.optional("data_dir").map(PathBuf::from),
            tolerated_machines: usize::try_from(fields.integer("fault_tolerance.machines", 0)?).unwrap_or(0),
            bounds,
            cloud_api,
        })
    }
}
