//! Processes of the fleet: starts, monitors and signals them. They end with the harness, however it ends.

use crate::endpoint::Endpoint;
use crate::error::RunError;
use crate::harness::RunContext;
use crate::history::{DecisionKind, Event, ProcessChange};
use rustix::process::{kill_process, Pid, Resource, Rlimit, Signal};
use std::cell::{Cell, RefCell};
use std::ffi::{OsStr, OsString};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A start fails if the process does not listen within this time.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Longer log lines of a process are truncated.
const MAX_LINE_BYTES: usize = 4096;

/// The state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The process does not run.
    Down,
    /// The process was started and does not listen yet.
    Starting(Pid),
    /// The process listens at this address.
    Up(Pid, SocketAddr),
}

/// A process of the fleet, which may be running or not.
pub struct Process {
    /// The endpoint of the process.
    pub endpoint: Endpoint,
    context: Rc<RunContext>,
    /// The program of the harness, which executes `program` in its place.
    launcher: PathBuf,
    program: PathBuf,
    log: PathBuf,
    state: watch::Sender<State>,
    /// The harness has ended the process or expects it to end.
    end_expected: Cell<bool>,
    suspended: Cell<bool>,
    unclean_exits: Cell<u64>,
    crash_status: RefCell<Option<String>>,
}

impl Process {
    /// Returns a process that is not started yet.
    pub fn new(
        context: &Rc<RunContext>,
        endpoint: Endpoint,
        launcher: PathBuf,
        program: PathBuf,
        log: PathBuf,
    ) -> Rc<Process> {
        Rc::new(Process {
            endpoint,
            context: context.clone(),
            launcher,
            program,
            log,
            state: watch::Sender::new(State::Down),
            end_expected: Cell::new(false),
            suspended: Cell::new(false),
            unclean_exits: Cell::new(0),
            crash_status: RefCell::new(None),
        })
    }

    /// Returns the address at which the process listens, or `None` if it does not.
    pub fn addr(&self) -> Option<SocketAddr> {
        match *self.state.borrow() {
            State::Up(_, addr) => Some(addr),
            _ => None,
        }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        *self.state.borrow() != State::Down
    }

    /// Subscribes to the state of the process.
    pub fn watch(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// Returns the exit status, if the process exited unexpectedly.
    pub fn crash_status(&self) -> Option<String> {
        self.crash_status.borrow().clone()
    }

    /// Returns how often the process was killed or exited unexpectedly, and so lost its state in memory.
    pub fn unclean_exits(&self) -> u64 {
        self.unclean_exits.get()
    }

    fn record(&self, change: ProcessChange) {
        self.context.record(Event::ProcessChanged { endpoint: self.endpoint, change });
    }

    /// Starts the process and waits until it listens.
    ///
    /// # Errors
    ///
    /// The process does not start, or does not listen in time.
    pub async fn start(
        self: &Rc<Self>,
        prepare: impl FnOnce(&mut Command) -> io::Result<()>,
    ) -> Result<(), RunError> {
        let start_error = |reason: &dyn std::fmt::Display| {
            RunError::Start(self.endpoint, self.program.clone(), reason.to_string())
        };
        let mut command = Command::new(&self.launcher);
        command.arg("hold").arg(std::process::id().to_string()).arg(&self.program);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        prepare(&mut command).map_err(|e| start_error(&e))?;
        let mut child = command.spawn().map_err(|e| start_error(&e))?;
        let pid = child.id().and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        let (Some(pid), Some(lines)) = (pid, child.stderr.take()) else {
            return Err(start_error(&"the process has already ended"));
        };
        self.end_expected.set(false);
        self.suspended.set(false);
        self.state.send_replace(State::Starting(pid));
        self.record(ProcessChange::Started);
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| start_error(&e))?;
        let mut listening = self.state.subscribe();
        spawn_local(self.clone().follow(pid, lines, log));
        spawn_local(self.clone().reap(child));
        let started =
            timeout(START_TIMEOUT, listening.wait_for(|state| !matches!(state, State::Starting(_)))).await;
        let state = match started {
            Ok(Ok(state)) => *state,
            _ => return Err(start_error(&"the process did not listen in time")),
        };
        match state {
            State::Up(..) => Ok(()),
            _ if self.end_expected.get() => Ok(()),
            _ => Err(start_error(&format!(
                "the process ended; its last log lines are in {}",
                self.log.display()
            ))),
        }
    }

    /// Copies the lines of standard error to the log file, and finds the address at which the process
    /// listens.
    async fn follow(self: Rc<Self>, pid: Pid, lines: ChildStderr, mut log: File) {
        let mut lines = BufReader::new(lines).split(b'\n');
        while let Ok(Some(mut line)) = lines.next_segment().await {
            line.truncate(MAX_LINE_BYTES);
            let text = String::from_utf8_lossy(&line).into_owned();
            let addr = text.rsplit_once("listening on ").and_then(|(_, rest)| {
                let addr: String =
                    rest.chars().take_while(|c| c.is_ascii_digit() || ".:".contains(*c)).collect();
                addr.parse().ok()
            });
            self.record_decision(&text);
            if let Some(addr) = addr {
                self.state.send_if_modified(|state| {
                    let is_starting = *state == State::Starting(pid);
                    if is_starting {
                        *state = State::Up(pid, addr);
                    }
                    is_starting
                });
            }
            line.push(b'\n');
            // A log that cannot be written must not stop the process. Writes are synchronous: passing the
            // lines to another thread costs as much as all other work when hundreds of processes start
            // together.
            drop(log.write_all(&line));
        }
    }

    /// Records the controllers' decisions that a log line reports as applied or refused.
    fn record_decision(&self, text: &str) {
        let stamp = text.rsplit_once("goes by ").and_then(|(_, decision)| {
            let (kind, stamp) = decision.split_once(' ')?;
            let kind = match kind {
                "zones" => DecisionKind::Zones,
                "shares" => DecisionKind::Shares,
                "books" => DecisionKind::ShardMap,
                _ => return None,
            };
            let (token, revision) = stamp.split_once('.')?;
            Some((kind, token.parse().ok()?, revision.parse().ok()?))
        });
        match (self.endpoint, stamp) {
            (Endpoint::Gateway(gateway), Some((kind, token, revision))) => {
                self.context.record(Event::DecisionApplied { gateway, kind, token, revision });
            }
            (Endpoint::Controller(controller), _) if text.contains("came too late and is refused") => {
                self.context.record(Event::DecisionRefused { controller });
            }
            _ => {}
        }
    }

    async fn reap(self: Rc<Self>, mut child: Child) {
        let status = child.wait().await;
        let end_expected = self.end_expected.get();
        self.record(if end_expected { ProcessChange::Ended } else { ProcessChange::Crashed });
        if !end_expected {
            self.unclean_exits.set(self.unclean_exits.get() + 1);
            let status = status.map_or_else(|e| e.to_string(), |status| status.to_string());
            tracing::error!(end = %self.endpoint, status, "process exited unexpectedly");
            self.crash_status.replace(Some(status));
        }
        self.state.send_replace(State::Down);
    }

    fn signal(&self, signal: Signal) {
        if let State::Up(pid, _) | State::Starting(pid) = *self.state.borrow() {
            if let Err(e) = kill_process(pid, signal) {
                tracing::warn!(end = %self.endpoint, error = %e, "cannot send a signal to the process");
            }
        }
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(&self) {
        self.end_expected.set(true);
        self.unclean_exits.set(self.unclean_exits.get() + 1);
        self.signal(Signal::KILL);
        self.wait_ended().await;
    }

    /// Sends the process a SIGTERM.
    pub fn terminate(&self) {
        self.end_expected.set(true);
        self.signal(Signal::TERM);
    }

    /// Sets whether the process may exit by itself, as a coordinator does that can no longer write to its
    /// disk.
    pub fn expect_end(&self, expected: bool) {
        self.end_expected.set(expected);
    }

    /// Waits until the process has ended.
    pub async fn wait_ended(&self) {
        // The wait cannot fail, as `self` owns the sender.
        drop(self.state.subscribe().wait_for(|state| *state == State::Down).await);
    }

    /// Suspends or resumes the process.
    pub fn set_suspended(&self, suspended: bool) {
        if self.suspended.replace(suspended) != suspended && self.is_running() {
            self.signal(if suspended { Signal::STOP } else { Signal::CONT });
            self.record(if suspended { ProcessChange::Stopped } else { ProcessChange::Continued });
        }
    }

    /// Sets or lifts a file size limit of zero. It simulates a full disk without a mount or special
    /// privileges. Writes beyond the limit fail, because SIGXFSZ is ignored from the start of the process.
    pub fn fill_disk(&self, full: bool) -> io::Result<()> {
        let State::Up(pid, _) = *self.state.borrow() else { return Ok(()) };
        let previous = rustix::process::prlimit(Some(pid), Resource::Fsize, unlimited())?;
        if full {
            rustix::process::prlimit(
                Some(pid),
                Resource::Fsize,
                Rlimit { current: Some(0), maximum: previous.maximum },
            )?;
        }
        Ok(())
    }
}

fn unlimited() -> Rlimit {
    Rlimit { current: None, maximum: None }
}

/// Executes another program in place of this process. The operating system kills the program when the parent
/// process ends, however it ends, and a write beyond the program's file size limit fails instead of killing
/// it. Returns only with an error.
///
/// This is a separate step between the harness and a process: setting these options between fork and exec
/// would make the operating system copy the whole address space of the harness for each process. With
/// hundreds of processes started at once, that blocked the harness for two seconds.
pub fn exec_program(parent: i32, program: &OsStr, args: &[OsString]) -> io::Error {
    if let Err(e) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return e.into();
    }
    // The parent may have ended before the death signal was set.
    if rustix::process::getppid().map(Pid::as_raw_nonzero).map(|pid| pid.get()) != Some(parent) {
        return io::Error::other("the parent process has ended");
    }
    ignore_file_size_signal();
    std::process::Command::new(program).args(args).exec()
}

#[allow(unsafe_code)]
fn ignore_file_size_signal() {
    // SAFETY: this installs no handler, and there is no other thread to race with.
    unsafe {
        libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
    }
}

/// Raises the limit on file descriptors to the maximum that this process may have, if it is below `needed`.
///
/// # Errors
///
/// The maximum is below `needed`, or the limit cannot be raised.
pub fn raise_descriptor_limit(needed: u64) -> Result<(), RunError> {
    let limit = rustix::process::getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if limit.maximum.is_some_and(|maximum| maximum < needed) {
        return Err(RunError::Descriptors(needed, limit.maximum.unwrap_or(0)));
    }
    let new_limit = Rlimit { current: limit.maximum, maximum: limit.maximum };
    let result = rustix::process::setrlimit(Resource::Nofile, new_limit);
    result.map_err(|error| RunError::DescriptorLimit(error.into()))
}
