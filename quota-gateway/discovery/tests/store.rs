//! The store and its journal against a model, on a disk that fails at any step.

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
struct Blob {
    durable: Vec<u8>,
    /// As the process sees it.
    now: Vec<u8>,
}

#[derive(Clone)]
enum Naming {
    Made(String, Rc<RefCell<Blob>>),
    Renamed(String, String, Rc<RefCell<Blob>>),
    Removed(String),
}

/// A disk in memory. What is not synced is lost in a crash, or some of it; names too.
#[derive(Default)]
struct Held {
    files: BTreeMap<String, Rc<RefCell<Blob>>>,
    /// The names as they are durable, and what was done to them since.
    names: BTreeMap<String, Rc<RefCell<Blob>>>,
    unsynced: Vec<Naming>,
    /// Steps until it fails for good; until a single one fails.
    crash: Option<u32>,
    fail: Option<u32>,
    /// How much of what is unsynced stays, in 256ths, and whether zeros stand for the rest.
    luck: u8,
    zeros: bool,
}

#[derive(Clone, Default)]
struct Memory(Rc<RefCell<Held>>);

impl Memory {
    fn step(&self) -> io::Result<()> {
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

    /// What a process finds after the machine has stopped and started.
    fn crashed(&self) {
        let mut state = self.0.borrow_mut();
        let keep = state.unsynced.len() * usize::from(state.luck) / 256;
        let all = std::mem::take(&mut state.unsynced);
        let mut names = state.names.clone();
        for naming in all.into_iter().take(keep) {
            match naming {
                Naming::Made(name, blob) => drop(names.insert(name, blob)),
                Naming::Renamed(from, to, blob) => {
                    names.remove(&from);
                    names.insert(to, blob);
                }
                Naming::Removed(name) => drop(names.remove(&name)),
            }
        }
        for blob in names.values() {
            let mut blob = blob.borrow_mut();
            let Blob { durable, now } = &mut *blob;
            if now.starts_with(durable) {
                let unsynced = &now[durable.len()..];
                let stays = unsynced.len() * usize::from(state.luck) / 256;
                let zeros = if state.zeros { unsynced.len() - stays } else { 0 };
                durable.extend_from_slice(&unsynced[..stays]);
                durable.extend(std::iter::repeat_n(0, zeros));
            }
            *now = durable.clone();
        }
        state.files = names.clone();
        state.names = names;
        (state.crash, state.fail) = (None, None);
    }
}

impl Storage for Memory {
    fn file_names(&self) -> io::Result<Vec<String>> {
        self.step()?;
        Ok(self.0.borrow().files.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.step()?;
        let state = self.0.borrow();
        state
            .files
            .get(name)
            .map(|blob| blob.borrow().now.clone())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let result = self.step();
        let mut state = self.0.borrow_mut();
        if !state.files.contains_key(name) {
            let blob = Rc::<RefCell<Blob>>::default();
            state.files.insert(name.to_owned(), blob.clone());
            state.unsynced.push(Naming::Made(name.to_owned(), blob));
        }
        let stays = if result.is_ok() { bytes.len() } else { bytes.len() * usize::from(state.luck) / 256 };
        state.files[name].borrow_mut().now.extend_from_slice(&bytes[..stays]);
        result
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let state = self.0.borrow();
        let mut blob = state.files[name].borrow_mut();
        blob.now.truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let state = self.0.borrow();
        let mut blob = state.files[name].borrow_mut();
        blob.durable = blob.now.clone();
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let mut state = self.0.borrow_mut();
        let blob = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), blob.clone());
        state.unsynced.push(Naming::Renamed(from.to_owned(), to.to_owned(), blob));
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut state = self.0.borrow_mut();
        state.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.unsynced.push(Naming::Removed(name.to_owned()));
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
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
    /// Time passes, in milliseconds; the wall clock may be set by so many besides.
    Pass {
        millis: u64,
        set: i64,
    },
    Compact,
    /// One write fails.
    Fail {
        after: u32,
    },
    /// The machine stops at so many steps on the disk from here.
    Crash {
        after: u32,
        luck: u8,
        zeros: bool,
    },
    /// The process alone ends and starts again.
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
            .prop_map(|(millis, set)| Step::Pass { millis, set }),
        1 => Just(Step::Compact),
        1 => (0..6_u32).prop_map(|after| Step::Fail { after }),
        2 => (0..12_u32, any::<u8>(), any::<bool>()).prop_map(|(after, luck, zeros)| Step::Crash { after, luck, zeros }),
        1 => Just(Step::Restart),
    ]
}

/// What has been answered with yes: an entry's address and state, or that it is gone.
type Model = BTreeMap<String, (u16, State)>;

/// A reader that follows the list by watches, as gateways do.
#[derive(Default)]
struct Watcher {
    version: Option<u64>,
    holds: BTreeMap<String, (u16, State)>,
}

impl Watcher {
    fn follow(&mut self, store: &Store) {
        let Some(text) = store.encode_list(self.version) else { return };
        let list: HostList = serde_json::from_slice(&text).expect("a list");
        assert!(self.version.is_none_or(|held| list.version > held), "versions rise for whoever watches");
        self.version = Some(list.version);
        if list.full {
            self.holds.clear();
        }
        for entry in list.servers {
            let Entry::Readable(host) = entry else { panic!("spoilt") };
            if host.state == State::Deleted {
                assert!(!list.full);
                self.holds.remove(&host.id);
            } else {
                self.holds.insert(host.id, (host.addr.port(), host.state));
            }
        }
    }
}

struct World {
    disk: Memory,
    store: Store,
    journal: Journal<Memory>,
    now: Duration,
    unix: u64,
    /// What was answered, and what may have happened beside: the one change that failed.
    model: Model,
    maybe: Option<Model>,
    versions: u64,
}

fn start(disk: &Memory, now: Duration, unix: u64) -> Result<(Store, Journal<Memory>), JournalError> {
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

impl World {
    fn new() -> World {
        let disk = Memory::default();
        let (store, journal) = start(&disk, Duration::ZERO, 1_000_000).expect("a new one");
        let versions = store.version();
        World {
            disk,
            store,
            journal,
            now: Duration::ZERO,
            unix: 1_000_000,
            model: Model::new(),
            maybe: None,
            versions,
        }
    }

    /// The process has ended, with or without the machine: what is found must be what was answered.
    fn again(&mut self, watchers: &mut [Watcher]) {
        (self.store, self.journal) = start(&self.disk, self.now, self.unix).expect("no crash is damage");
        let found = listed(&self.store);
        let good = found == self.model || self.maybe.as_ref().is_some_and(|maybe| found == *maybe);
        assert!(good, "found {found:?} for {:?} or {:?}", self.model, self.maybe);
        assert!(self.store.version() > self.versions, "versions rise across a start");
        self.versions = self.store.version();
        self.model = found;
        self.maybe = None;
        watchers.iter_mut().for_each(|watcher| watcher.follow(&self.store));
    }

    fn change(&mut self, record: Record) -> bool {
        let mut after = self.model.clone();
        match &record {
            Record::Put { host, .. } => drop(after.insert(host.id.clone(), (host.addr.port(), host.state))),
            Record::Deleted { id, .. } => drop(after.remove(id)),
            Record::Opened { .. } | Record::Promoted { .. } => unreachable!(),
        }
        if self.journal.append(std::slice::from_ref(&record)).is_err() {
            // Nobody is told. It may come to light after a restart, if nothing else was written since.
            self.maybe.get_or_insert(after);
            return false;
        }
        self.maybe = None;
        self.store.apply(record, self.now);
        self.model = after;
        assert!(self.store.version() > self.versions);
        self.versions = self.store.version();
        true
    }
}

fn play(steps: &[Step]) -> (u32, u32, u32) {
    let mut world = World::new();
    let mut watchers = [Watcher::default(), Watcher::default()];
    let mut broken = false;
    let (mut answered, mut crashes, mut ended) = (0, 0, 0);
    for (n, step) in steps.iter().enumerate() {
        let name = |id: &u8| format!("s-{id}\u{0}\"é");
        let revision =
            |world: &World, id: &str| world.store.entry_details(id, world.now).map(|shown| shown.revision);
        let command = match step {
            Step::Register { id, port, lease, with_revision } => {
                let id = name(id);
                let revision = revision(&world, &id).filter(|_| *with_revision);
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
                // The entry's own revision, or one that it never had.
                let revision = with_revision.and_then(|right| {
                    revision(&world, &id).map(|revision| if right { revision } else { revision + 1 })
                });
                if *with_revision == Some(false) && revision.is_some() {
                    let drain = Command::Drain { id: id.clone(), revision };
                    let decision = world.store.decide(&drain, world.now, world.unix);
                    assert!(matches!(decision, Err(Rejection::Conflict { .. })), "a lost compare-and-set");
                }
                Some(Command::Drain { id, revision })
            }
            Step::Undrain { id } => Some(Command::Undrain { id: name(id), revision: None }),
            Step::Deregister { id } => Some(Command::Deregister { id: name(id), revision: None }),
            _ => None,
        };
        match step {
            Step::Pass { millis, set } => {
                world.now += Duration::from_millis(*millis);
                world.unix = (world.unix + millis).saturating_add_signed(*set).max(1);
                while let Some(record) = world.store.expiry_record(world.now) {
                    if broken || !world.change(record) {
                        break;
                    }
                    ended += 1;
                }
            }
            // An error may leave the generation before, or nothing that can be written to.
            Step::Compact if world.journal.compact(&world.store.snapshot()).is_ok() => world.maybe = None,
            Step::Fail { after } => world.disk.0.borrow_mut().fail = Some(*after),
            Step::Crash { after, luck, zeros } => {
                let mut state = world.disk.0.borrow_mut();
                (state.crash, state.luck, state.zeros) = (Some(*after), *luck, *zeros);
                broken = true;
                crashes += 1;
            }
            Step::Restart if !broken => {
                world.disk.0.borrow_mut().fail = None;
                world.again(&mut watchers);
            }
            _ => {}
        }
        if let Some(command) = command {
            match world.store.decide(&command, world.now, world.unix) {
                Ok(Decision::Change(record)) => answered += u32::from(world.change(record)),
                Ok(Decision::Renew(id)) => world.store.renew(&id, world.now),
                Ok(Decision::Nothing) | Err(_) => {}
            }
        }
        assert_eq!(listed(&world.store), world.model, "what is told is what was answered");
        watchers[n % 2].follow(&world.store);
        assert_eq!(watchers[n % 2].holds, world.model, "no change was missed");
        if broken && world.disk.0.borrow().crash == Some(0) {
            world.disk.crashed();
            broken = false;
            world.again(&mut watchers);
        }
    }
    (answered, crashes, ended)
}

#[test]
fn nothing_that_was_answered_is_lost_and_versions_rise_whatever_the_disk_does() {
    let config = Config { cases: 800, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let met = RefCell::new((0, 0, 0));
    runner
        .run(&prop::collection::vec(step(), 1..120), |steps| {
            let (answered, crashes, ended) = play(&steps);
            let mut met = met.borrow_mut();
            *met = (met.0 + answered, met.1 + crashes, met.2 + ended);
            Ok(())
        })
        .unwrap();
    let (answered, crashes, ended) = met.into_inner();
    assert!(answered > 8000 && crashes > 3000 && ended > 150, "{answered} {crashes} {ended}");
}
