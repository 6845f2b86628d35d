//! Tests of the store and its journal: leases, revisions, history and damaged files.

use marblecroft_discovery::format::*;
use marblecroft_discovery::journal::{Folder, Journal};
use marblecroft_discovery::store::*;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const UNIX: u64 = 1_700_000_000_000;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn store() -> Store {
    let mut store = Store::default();
    let opened = store.opening_record(UNIX);
    store.apply(opened, secs(0));
    store
}

fn server(id: &str, port: u16) -> Registration {
    let addr = ([127, 0, 0, 1], port).into();
    Registration { id: id.into(), addr, zone: "a".into(), kind: "k".into(), cell: 1, weight: 1.0 }
}

fn register(id: &str, port: u16, lease: Option<u64>, revision: Option<u64>) -> Command {
    Command::Register { server: server(id, port), lease: lease.map(secs), revision }
}

/// Executes a command and returns the store's version after it.
fn execute(store: &mut Store, command: Command, now: Duration) -> Result<u64, Rejection> {
    match store.decide(&command, now, UNIX)? {
        Decision::Change(record) => store.apply(record, now),
        Decision::Renew(id) => store.renew(&id, now),
        Decision::Nothing => {}
    }
    Ok(store.version())
}

#[test]
fn a_renewal_extends_a_lease_and_an_expiry_takes_effect_before_it_is_recorded() {
    let mut store = store();
    execute(&mut store, register("s", 1, Some(5), None), secs(0)).expect("new");
    let version = store.version();
    execute(&mut store, Command::Renew { id: "s".into() }, secs(4)).expect("it has not expired");
    // An equal registration is also a renewal, and does not change the list.
    execute(&mut store, register("s", 1, Some(5), None), secs(8)).expect("it has not expired");
    assert_eq!((store.version(), store.next_expiry()), (version, Some(secs(13))));
    assert_eq!(store.expiry_record(secs(12)), None);
    // The expiry takes effect at its time, even if it is not recorded yet.
    assert_eq!(execute(&mut store, Command::Renew { id: "s".into() }, secs(13)), Err(Rejection::Unknown));
    let expiry = store.expiry_record(secs(13)).expect("it has expired");
    store.apply(expiry, secs(13));
    assert!(store.is_empty() && store.expiry_record(secs(99)).is_none());
    assert!(matches!(store.delta_since(version), Delta::Changes(hosts) if hosts[0].state == State::Deleted));
    let Delta::Full(hosts) = store.delta_since(0) else { panic!("the full list") };
    assert!(hosts.is_empty(), "the full list contains no deleted entries");
}

#[test]
fn a_registration_sets_a_new_start_time_only_after_the_lease_expired() {
    let mut store = store();
    let started = |store: &Store| store.full_list()[0].started_ms;
    let execute_at = |store: &mut Store, command: &Command, now, unix| match store.decide(command, now, unix)
    {
        Ok(Decision::Change(record)) => store.apply(record, now),
        other => panic!("{other:?}"),
    };
    execute_at(&mut store, &register("s", 1, Some(5), None), secs(0), UNIX);
    let revision = store.version();
    execute_at(&mut store, &register("s", 2, Some(5), Some(revision)), secs(1), UNIX + 1000);
    assert_eq!(started(&store), UNIX, "a change of address does not change the start time");
    execute_at(&mut store, &register("s", 2, Some(5), None), secs(6), UNIX + 6000);
    assert_eq!(started(&store), UNIX + 6000, "the lease had expired, although the expiry was not recorded");
}

#[test]
fn the_address_of_an_id_changes_only_with_its_current_revision() {
    let mut store = store();
    let revision = execute(&mut store, register("s", 1, Some(5), None), secs(0)).expect("new");
    let other = || register("s", 2, Some(5), None);
    assert_eq!(execute(&mut store, other(), secs(1)), Err(Rejection::Conflict { revision }));
    let stale = register("s", 2, Some(5), Some(revision - 1));
    assert_eq!(execute(&mut store, stale, secs(1)), Err(Rejection::Conflict { revision }));
    let moved = execute(&mut store, register("s", 2, Some(5), Some(revision)), secs(1))
        .expect("the current revision");
    assert!(moved > revision);
    let late = Command::Deregister { id: "s".into(), revision: Some(revision) };
    assert_eq!(execute(&mut store, late, secs(1)), Err(Rejection::Conflict { revision: moved }));
    assert_eq!(store.full_list()[0].addr.port(), 2);
}

#[test]
fn a_repeated_drain_is_one_change_and_survives_a_registration() {
    let mut store = store();
    execute(&mut store, register("s", 1, None, None), secs(0)).expect("new");
    let drain = Command::Drain { id: "s".into(), revision: None };
    let version = execute(&mut store, drain.clone(), secs(1)).expect("known");
    assert_eq!(execute(&mut store, drain, secs(2)), Ok(version));
    assert_eq!(execute(&mut store, register("s", 1, None, None), secs(3)), Ok(version));
    assert_eq!(store.full_list()[0].state, State::Draining);
    assert!(
        execute(&mut store, Command::Undrain { id: "s".into(), revision: None }, secs(4)).expect("known")
            > version
    );
    for command in [Command::Drain { id: "x".into(), revision: None }, Command::Renew { id: "x".into() }] {
        assert_eq!(execute(&mut store, command, secs(5)), Err(Rejection::Unknown));
    }
}

#[test]
fn versions_before_the_history_or_of_another_store_get_the_full_list() {
    let mut store = store();
    let first = store.version();
    assert!(matches!(store.delta_since(first), Delta::Unchanged));
    execute(&mut store, register("kept", 1, None, None), secs(0)).expect("new");
    for n in 0..5000_u16 {
        let command = if n % 2 == 0 {
            register("s", n, None, None)
        } else {
            Command::Deregister { id: "s".into(), revision: None }
        };
        execute(&mut store, command, secs(1)).expect("a change");
    }
    let version = store.version();
    assert!(
        matches!(store.delta_since(version - 3), Delta::Changes(hosts) if hosts.len() == 1),
        "one change per entry"
    );
    assert!(matches!(store.delta_since(version - 4000), Delta::Changes(_)));
    for unknown in [0, 1, first, first + 1, version + 1, u64::MAX] {
        assert!(matches!(store.delta_since(unknown), Delta::Full(hosts) if hosts.len() == 1), "{unknown}");
    }
    // A store that was created a millisecond earlier or later has other versions.
    for unix in [UNIX - 1, UNIX + 100] {
        let Record::Opened { version: other } = Store::default().opening_record(unix) else {
            panic!("a version")
        };
        assert!(
            matches!(store.delta_since(other), Delta::Full(_)),
            "{other} is not from {first} to {version}"
        );
    }
}

#[test]
fn a_registration_beyond_the_maximum_list_length_is_rejected() {
    let mut store = store();
    let mut accepted = 0;
    let rejection = (0..2000).find_map(|n| {
        let result = execute(&mut store, register(&format!("server-{n:0>100}"), 1, None, None), secs(0));
        accepted += usize::from(result.is_ok());
        result.err()
    });
    assert_eq!(rejection, Some(Rejection::ListTooLong));
    assert!(store.encode_list(None).expect("a list").len() <= MAX_LIST_BYTES && accepted > 200, "{accepted}");
    let deregistration = Command::Deregister { id: format!("server-{:0>100}", 0), revision: None };
    execute(&mut store, deregistration, secs(0)).expect("known");
    execute(&mut store, register("s", 1, None, None), secs(0)).expect("it fits again");
}

/// Returns a path for a new folder, unique to one test.
fn folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name =
        format!("marblecroft-discovery-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    std::env::temp_dir().join(name)
}

fn open(path: &Path) -> Result<(Journal<Folder>, Vec<Record>, u64), String> {
    let folder = Folder::lock(path).map_err(|e| e.to_string())?.ok_or("locked")?;
    let (journal, recovered) = Journal::open(folder).map_err(|e| e.to_string())?;
    Ok((journal, recovered.records, recovered.torn_bytes))
}

fn deletion(version: u64) -> Record {
    Record::Deleted { version, id: "s".into() }
}

#[test]
fn a_folder_is_locked_and_a_torn_write_is_truncated() {
    let path = folder();
    let (mut journal, ..) = open(&path).expect("new");
    assert_eq!(open(&path).err().as_deref(), Some("locked"));
    journal.append(&[deletion(1), deletion(2)]).expect("written");
    journal.append(&[deletion(3)]).expect("written");
    let length = journal.log_bytes();
    drop(journal);
    let log = path.join("log.1");
    let intact = fs::read(&log).expect("the file");
    assert_eq!(intact.len() as u64, length);
    // The last frame is torn at any byte, and followed by bytes that were never written.
    let (mut journal, records, _) = open(&path).expect("intact");
    assert_eq!(records, [deletion(1), deletion(2), deletion(3)]);
    journal.append(&[deletion(4)]).expect("written");
    drop(journal);
    let longer = fs::read(&log).expect("the file");
    for keep in intact.len()..longer.len() {
        for zeros in [0, 5, 100] {
            let mut torn = longer[..keep].to_vec();
            torn.extend(std::iter::repeat_n(0, zeros));
            let torn_bytes = (torn.len() - intact.len()) as u64;
            fs::write(&log, torn).expect("written");
            let (_, records, reported) = open(&path).unwrap_or_else(|e| panic!("{keep}, {zeros}: {e}"));
            assert_eq!((records.len(), reported), (3, torn_bytes), "{keep}, {zeros}");
            assert_eq!(fs::read(&log).expect("the file"), intact);
        }
    }
    // An error is ignored: a folder that remains does no harm, since each test has its own.
    let _ = fs::remove_dir_all(&path);
}

#[test]
fn damage_other_than_a_torn_write_fails_the_open_with_its_offset() {
    let path = folder();
    let (mut journal, ..) = open(&path).expect("new");
    for version in 1..4 {
        journal.append(&[deletion(version)]).expect("written");
    }
    drop(journal);
    let log = path.join("log.1");
    let good = fs::read(&log).expect("the file");
    let frame = (good.len() - 8) / 3;
    for at in 0..good.len() {
        let mut bad = good.clone();
        bad[at] ^= 0x41;
        fs::write(&log, &bad).expect("written");
        let e = open(&path).err().unwrap_or_else(|| panic!("damage at byte {at} is not detected"));
        let offset = if at < 8 { 0 } else { 8 + (at - 8) / frame * frame };
        assert!(e.starts_with(&format!("log.1 is damaged at byte {offset}: ")), "byte {at}: {e}");
        assert_eq!(fs::read(&log).expect("the file"), bad, "the file is not changed");
    }
    fs::write(&log, &good).expect("written");
    let snapshot = path.join("snap.1");
    let snapshot_bytes = fs::read(&snapshot).expect("the file");
    for bad in [&snapshot_bytes[..snapshot_bytes.len() - 1], b"", b"MDDSNP01", &[b'x'; 40]] {
        fs::write(&snapshot, bad).expect("written");
        let e = open(&path).err().expect("the damage is detected");
        assert!(e.starts_with("snap.1 is damaged at byte "), "{e}");
    }
    fs::remove_file(&snapshot).expect("the file");
    assert!(open(&path).err().expect("the damage is detected").starts_with("log.1 is damaged at byte 0: "));
    // An error is ignored: a folder that remains does no harm, since each test has its own.
    let _ = fs::remove_dir_all(&path);
}

#[test]
fn a_snapshot_restores_the_store() {
    let mut first = store();
    for n in 0..50 {
        execute(&mut first, register(&format!("s-{n}"), n, (n % 3 > 0).then_some(60), None), secs(0))
            .expect("new");
    }
    let version = first.version();
    execute(&mut first, Command::Deregister { id: "s-7".into(), revision: None }, secs(1)).expect("known");
    let text = serde_json::to_vec(&first.snapshot()).expect("JSON");
    let snapshot: Snapshot = serde_json::from_slice(&text).expect("a snapshot");
    let second = Store::restore(snapshot, [], secs(1000));
    assert_eq!(second.snapshot(), first.snapshot());
    assert_eq!(second.encode_list(None), first.encode_list(None));
    assert_eq!(
        second.encode_list(Some(version)),
        first.encode_list(Some(version)),
        "the history is restored as well"
    );
    // All leases restart with their full duration.
    assert_eq!(second.next_expiry(), Some(secs(1060)));
    assert_eq!(second.expiry_record(secs(1059)), None);
}
