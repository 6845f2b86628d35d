//! Processes of the program: started, watched, signalled; and ended with the lab, whatever ends it.

use crate::endpoint::End;
use crate::error::RunError;
use crate::history::{DecisionKind, Event, ProcessChange};
use crate::shell::World;
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

/// A process that does not listen by then has not started.
const START_MOST: Duration = Duration::from_secs(60);
/// The longest line that is kept of a process.
const LINE_MOST: usize = 4096;

/// The state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does not run.
    Down,
    /// It was started and does not listen yet.
    Starting(Pid),
    /// It listens at this address.
    Up(Pid, SocketAddr),
}

/// A place in the fleet, with or without a process.
pub struct Process {
    /// What it is.
    pub end: End,
    world: Rc<World>,
    /// The lab's own program, which becomes the other.
    holder: PathBuf,
    program: PathBuf,
    log: PathBuf,
    state: watch::Sender<State>,
    /// The lab has said that it is to end.
    told: Cell<bool>,
    stopped: Cell<bool>,
    losses: Cell<u64>,
    crashed: RefCell<Option<String>>,
}

impl Process {
    /// Returns a process that is not started yet.
    pub fn new(world: &Rc<World>, end: End, holder: PathBuf, program: PathBuf, log: PathBuf) -> Rc<Process> {
        Rc::new(Process {
            end,
            world: world.clone(),
            holder,
            program,
            log,
            state: watch::Sender::new(State::Down),
            told: Cell::new(false),
            stopped: Cell::new(false),
            losses: Cell::new(0),
            crashed: RefCell::new(None),
        })
    }

    /// Where it listens, while it lives.
    pub fn addr(&self) -> Option<SocketAddr> {
        match *self.state.borrow() {
            State::Up(_, addr) => Some(addr),
            _ => None,
        }
    }

    /// Whether it runs.
    pub fn lives(&self) -> bool {
        *self.state.borrow() != State::Down
    }

    /// Follows what becomes of it.
    pub fn watch(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// What it said last, if it ended by itself.
    pub fn crashed(&self) -> Option<String> {
        self.crashed.borrow().clone()
    }

    /// How often it has lost what it had: killed, or ended by itself.
    pub fn losses(&self) -> u64 {
        self.losses.get()
    }

    fn record(&self, life: ProcessChange) {
        self.world.record(Event::ProcessChanged { end: self.end, change: life });
    }

    /// Starts it, and waits until it listens.
    ///
    /// # Errors
    ///
    /// It does not start, or does not listen in time.
    pub async fn start(
        self: &Rc<Self>,
        prepare: impl FnOnce(&mut Command) -> io::Result<()>,
    ) -> Result<(), RunError> {
        let failed = |reason: &dyn std::fmt::Display| {
            RunError::Start(self.end, self.program.clone(), reason.to_string())
        };
        let mut command = Command::new(&self.holder);
        command.arg("hold").arg(std::process::id().to_string()).arg(&self.program);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        prepare(&mut command).map_err(|e| failed(&e))?;
        let mut child = command.spawn().map_err(|e| failed(&e))?;
        let pid = child.id().and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        let (Some(pid), Some(lines)) = (pid, child.stderr.take()) else {
            return Err(failed(&"it has ended already"));
        };
        self.told.set(false);
        self.stopped.set(false);
        self.state.send_replace(State::Starting(pid));
        self.record(ProcessChange::Started);
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| failed(&e))?;
        let mut listening = self.state.subscribe();
        spawn_local(self.clone().follow(pid, lines, log));
        spawn_local(self.clone().reap(child));
        let came =
            timeout(START_MOST, listening.wait_for(|state| !matches!(state, State::Starting(_)))).await;
        let state = match came {
            Ok(Ok(state)) => *state,
            _ => return Err(failed(&"it does not listen")),
        };
        match state {
            State::Up(..) => Ok(()),
            _ if self.told.get() => Ok(()),
            _ => Err(failed(&format!("it ended; its last lines are in {}", self.log.display()))),
        }
    }

    /// Keeps its lines, and finds where it listens.
    async fn follow(self: Rc<Self>, pid: Pid, lines: ChildStderr, mut log: File) {
        let mut lines = BufReader::new(lines).split(b'\n');
        while let Ok(Some(mut line)) = lines.next_segment().await {
            line.truncate(LINE_MOST);
            let text = String::from_utf8_lossy(&line).into_owned();
            let addr = text.rsplit_once("listening on ").and_then(|(_, rest)| {
                let addr: String =
                    rest.chars().take_while(|c| c.is_ascii_digit() || ".:".contains(*c)).collect();
                addr.parse().ok()
            });
            self.heard(&text);
            if let Some(addr) = addr {
                self.state.send_if_modified(|state| {
                    let starts = *state == State::Starting(pid);
                    if starts {
                        *state = State::Up(pid, addr);
                    }
                    starts
                });
            }
            line.push(b'\n');
            // A log that cannot be written must not stop the process that writes it.
            // Written at once: handed to another thread, the lines of hundreds that start together cost as much as all else.
            drop(log.write_all(&line));
        }
    }

    /// What its lines say of decisions made in common.
    fn heard(&self, text: &str) {
        let stamp = text.rsplit_once("goes by ").and_then(|(_, said)| {
            let (duty, stamp) = said.split_once(' ')?;
            let duty = match duty {
                "zones" => DecisionKind::Zones,
                "shares" => DecisionKind::Shares,
                "books" => DecisionKind::Books,
                _ => return None,
            };
            let (token, revision) = stamp.split_once('.')?;
            Some((duty, token.parse().ok()?, revision.parse().ok()?))
        });
        match (self.end, stamp) {
            (End::Gateway(gateway), Some((duty, token, revision))) => {
                self.world.record(Event::DecisionApplied { gateway, kind: duty, token, revision });
            }
            (End::Controller(steward), _) if text.contains("came too late and is refused") => {
                self.world.record(Event::DecisionRefused { controller: steward });
            }
            _ => {}
        }
    }

    async fn reap(self: Rc<Self>, mut child: Child) {
        let status = child.wait().await;
        let told = self.told.get();
        self.record(if told { ProcessChange::Ended } else { ProcessChange::Crashed });
        if !told {
            self.losses.set(self.losses.get() + 1);
            let status = status.map_or_else(|e| e.to_string(), |status| status.to_string());
            tracing::error!(end = %self.end, status, "a process ended by itself");
            self.crashed.replace(Some(status));
        }
        self.state.send_replace(State::Down);
    }

    fn signal(&self, signal: Signal) {
        if let State::Up(pid, _) | State::Starting(pid) = *self.state.borrow() {
            if let Err(e) = kill_process(pid, signal) {
                tracing::warn!(end = %self.end, error = %e, "a signal did not reach its process");
            }
        }
    }

    /// Ends it at once, and waits until it has.
    pub async fn kill(&self) {
        self.told.set(true);
        self.losses.set(self.losses.get() + 1);
        self.signal(Signal::KILL);
        self.gone().await;
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        self.told.set(true);
        self.signal(Signal::TERM);
    }

    /// It may end by itself from now on, as it would rather than break its word; or may not.
    pub fn expect_end(&self, expected: bool) {
        self.told.set(expected);
    }

    /// Waits until it has ended.
    pub async fn gone(&self) {
        // The sender is this one's own, so it outlives the wait.
        drop(self.state.subscribe().wait_for(|state| *state == State::Down).await);
    }

    /// Stands still, or goes on.
    pub fn pause(&self, paused: bool) {
        if self.stopped.replace(paused) != paused && self.lives() {
            self.signal(if paused { Signal::STOP } else { Signal::CONT });
            self.record(if paused { ProcessChange::Stopped } else { ProcessChange::Continued });
        }
    }

    /// Its files can grow no more, or can again: a stand-in for a full disk that needs neither a mount nor special rights.
    /// Writing beyond it fails, as the signal for it is ignored from the start.
    pub fn fill_disk(&self, full: bool) -> io::Result<()> {
        let State::Up(pid, _) = *self.state.borrow() else { return Ok(()) };
        let old = rustix::process::prlimit(Some(pid), Resource::Fsize, unlimited())?;
        if full {
            rustix::process::prlimit(
                Some(pid),
                Resource::Fsize,
                Rlimit { current: Some(0), maximum: old.maximum },
            )?;
        }
        Ok(())
    }
}

fn unlimited() -> Rlimit {
    Rlimit { current: None, maximum: None }
}

/// Becomes another program, which the system kills when the process that asked for it ends, however that comes; and for which
/// a write beyond its limit fails rather than kills it. Returns only with an error.
///
/// A step of its own between the lab and a process, as setting this between fork and exec would have the system copy the lab's
/// whole address space for each process: with hundreds started at once the lab stood still for two seconds.
pub fn become_held(parent: i32, program: &OsStr, args: &[OsString]) -> io::Error {
    if let Err(e) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return e.into();
    }
    // It may have died before that took effect.
    if rustix::process::getppid().map(Pid::as_raw_nonzero).map(|pid| pid.get()) != Some(parent) {
        return io::Error::other("whoever asked for it has ended");
    }
    ignore_file_limit();
    std::process::Command::new(program).args(args).exec()
}

#[allow(unsafe_code)]
fn ignore_file_limit() {
    // SAFETY: no handler is installed, and no other thread is there to race with.
    unsafe {
        libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
    }
}

/// Raises the limit on descriptors as far as this process may.
///
/// # Errors
///
/// The limit is too low, or cannot be raised.
pub fn descriptors(needed: u64) -> Result<(), RunError> {
    let limit = rustix::process::getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if limit.maximum.is_some_and(|most| most < needed) {
        return Err(RunError::Descriptors(needed, limit.maximum.unwrap_or(0)));
    }
    let raised = Rlimit { current: limit.maximum, maximum: limit.maximum };
    let set = rustix::process::setrlimit(Resource::Nofile, raised);
    set.map_err(|error| RunError::DescriptorLimit(error.into()))
}
