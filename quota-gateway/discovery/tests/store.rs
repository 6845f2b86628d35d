//! Tests of the store and its journal against a model, on storage that fails at any operation.

use marblecroft_discovery::format::*;
use marblecroft_discovery::journal::{Journal, JournalError, Storage};
use marblecroft_discovery::store::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Default)]
struct FileContents {
    durable: Vec<u8>,
    /// The contents as the process reads them, durable or not.
    written: Vec<u8>,
}

#[derive(Clone)]
enum NameChange {
    Created(String, Rc<RefCell<FileContents>>),
    Renamed(String, String, Rc<RefCell<FileContents>>),
    Removed(String),
}

/// Storage in memory. A crash loses some or all of the contents and file names that are not synced.
#[derive(Default)]
struct StorageState {
    files: BTreeMap<String, Rc<RefCell<FileContents>>>,
    /// The durable file names.
    names: BTreeMap<String, Rc<RefCell<FileContents>>>,
    /// The changes of file names since the last sync.
    unsynced: Vec<NameChange>,
    /// The number of operations until all operations fail.
    crash: Option<u32>,
    /// The number of operations until a single one fails.
    fail: Option<u32>,
    /// The share of unsynced data that survives a crash, in 256ths.
    survival: u8,
    /// Whether the lost contents read as zeros after a crash.
    zeros: bool,
}

#[derive(Clone, Default)]
struct FaultyStorage(Rc<RefCell<StorageState>>);

impl FaultyStorage {
    /// Counts an operation, and fails it if a fault is due.
    fn count_operation(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if let Some(left) = &mut state.crash {
            if *left == 0 {
                return Err(io::Error::other("the machine has stopped"));
            }
            *left -= 1;
        }
        if let Some(left) = state.fail {
            state.fail = left.checked_sub(1);
            if left == 0 {
                return Err(io::ErrorKind::StorageFull.into());
            }
        }
        Ok(())
    }

    /// Sets the state to the one that a process finds after a crash.
    fn recover_from_crash(&self) {
        let mut state = self.0.borrow_mut();
        let keep = state.unsynced.len() * usize::from(state.survival) / 256;
        let all = std::mem::take(&mut state.unsynced);
        let mut names = state.names.clone();
        for change in all.into_iter().take(keep) {
            match change {
                NameChange::Created(name, contents) => {
                    names.insert(name, contents);
                }
                NameChange::Renamed(from, to, contents) => {
                    names.remove(&from);
                    names.insert(to, contents);
                }
                NameChange::Removed(name) => {
                    names.remove(&name);
                }
            }
        }
        for contents in names.values() {
            let mut contents = contents.borrow_mut();
            let FileContents { durable, written } = &mut *contents;
            if written.starts_with(durable) {
                let unsynced = &written[durable.len()..];
                let survives = unsynced.len() * usize::from(state.survival) / 256;
                let zeros = if state.zeros { unsynced.len() - survives } else { 0 };
                durable.extend_from_slice(&unsynced[..survives]);
                durable.extend(std::iter::repeat_n(0, zeros));
            }
            *written = durable.clone();
        }
        state.files = names.clone();
        state.names = names;
        (state.crash, state.fail) = (None, None);
    }
}

impl Storage for FaultyStorage {
    fn file_names(&self) -> io::Result<Vec<String>> {
        self.count_operation()?;
        Ok(self.0.borrow().files.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.count_operation()?;
        let state = self.0.borrow();
        state
            .files
            .get(name)
            .map(|contents| contents.borrow().written.clone())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let result = self.count_operation();
        let mut state = self.0.borrow_mut();
        if !state.files.contains_key(name) {
            let contents = Rc::<RefCell<FileContents>>::default();
            state.files.insert(name.to_owned(), contents.clone());
            state.unsynced.push(NameChange::Created(name.to_owned(), contents));
        }
        let survives =
            if result.is_ok() { bytes.len() } else { bytes.len() * usize::from(state.survival) / 256 };
        state.files[name].borrow_mut().written.extend_from_slice(&bytes[..survives]);
        result
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.count_operation()?;
        let state = self.0.borrow();
        let mut contents = state.files[name].borrow_mut();
        contents.written.truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let state = self.0.borrow();
        let mut contents = state.files[name].borrow_mut();
        contents.durable = contents.written.clone();
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        let contents = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), contents.clone());
        state.unsynced.push(NameChange::Renamed(from.to_owned(), to.to_owned(), contents));
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        state.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.unsynced.push(NameChange::Removed(name.to_owned()));
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.count_operation()?;
        let mut state = self.0.borrow_mut();
        state.unsynced.clear();
        state.names = state.files.clone();
        Ok(())
    }
}

#[derive(Clone, Debug)]
enum Step {
    Register {
        id: u8,
        port: u16,
        lease: bool,
        with_revision: bool,
    },
    Renew {
        id: u8,
    },
    Drain {
        id: u8,
        with_revision: Option<bool>,
    },
    Undrain {
        id: u8,
    },
    Deregister {
        id: u8,
    },
    /// Advances the clocks by `millis`, and steps the wall clock by `wall_clock_step` milliseconds in
    /// addition.
    Advance {
        millis: u64,
        wall_clock_step: i64,
    },
    Compact,
    /// A single storage operation fails, after `after` others.
    Fail {
        after: u32,
    },
    /// The machine crashes after `after` storage operations.
    Crash {
        after: u32,
        survival: u8,
        zeros: bool,
    },
    /// The process restarts, and the machine does not.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..5_u8;
    prop_oneof![
        6 => (id.clone(), 1..4_u16, any::<bool>(), any::<bool>())
            .prop_map(|(id, port, lease, with_revision)| Step::Register { id, port, lease, with_revision }),
        2 => id.clone().prop_map(|id| Step::Renew { id }),
        2 => (id.clone(), prop::option::of(any::<bool>())).prop_map(|(id, with_revision)| Step::Drain { id, with_revision }),
        2 => id.clone().prop_map(|id| Step::Undrain { id }),
        2 => id.prop_map(|id| Step::Deregister { id }),
        2 => (0..1500_u64, prop_oneof![4 => Just(0), 1 => -5_000_000..5_000_000_i64])
            .prop_map(|(millis, wall_clock_step)| Step::Advance { millis, wall_clock_step }),
        1 => Just(Step::Compact),
        1 => (0..6_u32).prop_map(|after| Step::Fail { after }),
        2 => (0..12_u32, any::<u8>(), any::<bool>()).prop_map(|(after, survival, zeros)| Step::Crash { after, survival, zeros }),
        1 => Just(Step::Restart),
    ]
}

/// The acknowledged entries by id, each with its port and state.
type Model = BTreeMap<String, (u16, State)>;

/// A reader that follows the list with watches, as gateways do.
#[derive(Default)]
struct Watcher {
    version: Option<u64>,
    view: BTreeMap<String, (u16, State)>,
}

impl Watcher {
    fn follow(&mut self, store: &Store) {
        let Some(text) = store.encode_list(self.version) else { return };
        let list: HostList = serde_json::from_slice(&text).expect("a list");
        assert!(
            self.version.is_none_or(|version| list.version > version),
            "versions increase for each reader"
        );
        self.version = Some(list.version);
        if list.full {
            self.view.clear();
        }
        for entry in list.servers {
            let Entry::Readable(host) = entry else { panic!("an entry cannot be parsed") };
            if host.state == State::Deleted {
                assert!(!list.full);
                self.view.remove(&host.id);
            } else {
                self.view.insert(host.id, (host.addr.port(), host.state));
            }
        }
    }
}

struct Simulation {
    disk: FaultyStorage,
    store: Store,
    journal: Journal<FaultyStorage>,
    now: Duration,
    unix: u64,
    /// The acknowledged entries.
    model: Model,
    /// The entries including a change whose write failed, which may be durable nevertheless.
    uncertain: Option<Model>,
    last_version: u64,
}

fn start(
    disk: &FaultyStorage,
    now: Duration,
    unix: u64,
) -> Result<(Store, Journal<FaultyStorage>), JournalError> {
    let (mut journal, recovered) = Journal::open(disk.clone())?;
    let mut store = Store::restore(recovered.snapshot, recovered.records, now);
    let opened = store.opening_record(unix);
    journal.append(std::slice::from_ref(&opened))?;
    store.apply(opened, now);
    Ok((store, journal))
}

fn listed(store: &Store) -> Model {
    store.full_list().into_iter().map(|host| (host.id.clone(), (host.addr.port(), host.state))).collect()
}

impl Simulation {
    fn new() -> Simulation {
        let disk = FaultyStorage::default();
        let (store, journal) = start(&disk, Duration::ZERO, 1_000_000).expect("a new store");
        let last_version = store.version();
        Simulation {
            disk,
            store,
            journal,
            now: Duration::ZERO,
            unix: 1_000_000,
            model: Model::new(),
            uncertain: None,
            last_version,
        }
    }

    /// Restarts the process, after a crash or without one, and checks that it finds the acknowledged entries.
    fn restart(&mut self, watchers: &mut [Watcher]) {
        (self.store, self.journal) =
            start(&self.disk, self.now, self.unix).expect("a crash causes no damage");
        let found = listed(&self.store);
        let is_expected =
            found == self.model || self.uncertain.as_ref().is_some_and(|uncertain| found == *uncertain);
        assert!(is_expected, "found {found:?}, expected {:?} or {:?}", self.model, self.uncertain);
        assert!(self.store.version() > self.last_version, "versions increase across a restart");
        self.last_version = self.store.version();
        self.model = found;
        self.uncertain = None;
        watchers.iter_mut().for_each(|watcher| watcher.follow(&self.store));
    }

    fn change(&mut self, record: Record) -> bool {
        let mut after = self.model.clone();
        match &record {
            Record::Put { host, .. } => {
                after.insert(host.id.clone(), (host.addr.port(), host.state));
            }
            Record::Deleted { id, .. } => {
                after.remove(id);
            }
            Record::Opened { .. } | Record::Promoted { .. } => unreachable!(),
        }
        if self.journal.append(std::slice::from_ref(&record)).is_err() {
            // The change is not acknowledged. A restart may find it, if nothing else was written since.
            self.uncertain.get_or_insert(after);
            return false;
        }
        self.uncertain = None;
        self.store.apply(record, self.now);
        self.model = after;
        assert!(self.store.version() > self.last_version);
        self.last_version = self.store.version();
        true
    }
}

fn run(steps: &[Step]) -> (u32, u32, u32) {
    let mut simulation = Simulation::new();
    let mut watchers = [Watcher::default(), Watcher::default()];
    let mut is_crashing = false;
    let (mut acknowledged, mut crashes, mut expired) = (0, 0, 0);
    for (n, step) in steps.iter().enumerate() {
        let name = |id: &u8| format!("s-{id}\u{0}\"é");
        let revision = |simulation: &Simulation, id: &str| {
            simulation.store.entry_details(id, simulation.now).map(|details| details.revision)
        };
        let command = match step {
            Step::Register { id, port, lease, with_revision } => {
                let id = name(id);
                let revision = revision(&simulation, &id).filter(|_| *with_revision);
                let server = Registration {
                    addr: ([127, 0, 0, 1], *port).into(),
                    zone: "a".into(),
                    kind: "k".into(),
                    cell: 0,
                    weight: 1.0,
                    id,
                };
                Some(Command::Register { server, lease: lease.then_some(Duration::from_secs(2)), revision })
            }
            Step::Renew { id } => Some(Command::Renew { id: name(id) }),
            Step::Drain { id, with_revision } => {
                let id = name(id);
                // The entry's current revision, or one that it never had.
                let revision = with_revision.and_then(|is_current| {
                    revision(&simulation, &id)
                        .map(|revision| if is_current { revision } else { revision + 1 })
                });
                if *with_revision == Some(false) && revision.is_some() {
                    let drain = Command::Drain { id: id.clone(), revision };
                    let decision = simulation.store.decide(&drain, simulation.now, simulation.unix);
                    assert!(matches!(decision, Err(Rejection::Conflict { .. })), "a failed compare-and-set");
                }
                Some(Command::Drain { id, revision })
            }
            Step::Undrain { id } => Some(Command::Undrain { id: name(id), revision: None }),
            Step::Deregister { id } => Some(Command::Deregister { id: name(id), revision: None }),
            _ => None,
        };
        match step {
            Step::Advance { millis, wall_clock_step } => {
                simulation.now += Duration::from_millis(*millis);
                simulation.unix = (simulation.unix + millis).saturating_add_signed(*wall_clock_step).max(1);
                while let Some(record) = simulation.store.expiry_record(simulation.now) {
                    if is_crashing || !simulation.change(record) {
                        break;
                    }
                    expired += 1;
                }
            }
            // After an error, the former generation stays in use, or appends fail.
            Step::Compact if simulation.journal.compact(&simulation.store.snapshot()).is_ok() => {
                simulation.uncertain = None
            }
            Step::Fail { after } => simulation.disk.0.borrow_mut().fail = Some(*after),
            Step::Crash { after, survival, zeros } => {
                let mut state = simulation.disk.0.borrow_mut();
                (state.crash, state.survival, state.zeros) = (Some(*after), *survival, *zeros);
                is_crashing = true;
                crashes += 1;
            }
            Step::Restart if !is_crashing => {
                simulation.disk.0.borrow_mut().fail = None;
                simulation.restart(&mut watchers);
            }
            _ => {}
        }
        if let Some(command) = command {
            match simulation.store.decide(&command, simulation.now, simulation.unix) {
                Ok(Decision::Change(record)) => acknowledged += u32::from(simulation.change(record)),
                Ok(Decision::Renew(id)) => simulation.store.renew(&id, simulation.now),
                Ok(Decision::Nothing) | Err(_) => {}
            }
        }
        assert_eq!(listed(&simulation.store), simulation.model, "the list contains the acknowledged entries");
        watchers[n % 2].follow(&simulation.store);
        assert_eq!(watchers[n % 2].view, simulation.model, "no change is missed");
        if is_crashing && simulation.disk.0.borrow().crash == Some(0) {
            simulation.disk.recover_from_crash();
            is_crashing = false;
            simulation.restart(&mut watchers);
        }
    }
    (acknowledged, crashes, expired)
}

#[test]
fn no_acknowledged_change_is_lost_and_versions_increase_with_faulty_storage() {
    let config = Config { cases: 800, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let totals = RefCell::new((0, 0, 0));
    runner
        .run(&prop::collection::vec(step(), 1..120), |steps| {
            let (acknowledged, crashes, expired) = run(&steps);
            let mut totals = totals.borrow_mut();
            *totals = (totals.0 + acknowledged, totals.1 + crashes, totals.2 + expired);
            Ok(())
        })
        .unwrap();
    let (acknowledged, crashes, expired) = totals.into_inner();
    assert!(acknowledged > 8000 && crashes > 3000 && expired > 150, "{acknowledged} {crashes} {expired}");
}
