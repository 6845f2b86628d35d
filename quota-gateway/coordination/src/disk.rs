//! Disks under the store that are not the plain file: one that is looked at and never written, one that is made slow or to fail
//! for trials, and one in memory that crashes.

use rand::Rng;
use redb::backends::FileBackend;
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const PAGE: u64 = 4096;

/// A file that is only read: what is written over it stays in memory, and is gone with it. A store that recovers from a crash
/// writes; with this one can look at what it would come to, and touch nothing.
#[derive(Debug)]
pub struct Overlay {
    file: File,
    layer: Mutex<Layer>,
}

#[derive(Debug)]
struct Layer {
    length: u64,
    /// Up to where the file counts: what was cut off of it is not there again when it grows.
    of_file: u64,
    pages: BTreeMap<u64, Vec<u8>>,
}

impl Overlay {
    pub fn open(path: &Path) -> io::Result<Overlay> {
        let file = File::open(path)?;
        let length = file.metadata()?.len();
        Ok(Overlay { file, layer: Mutex::new(Layer { length, of_file: length, pages: BTreeMap::new() }) })
    }

    fn layer(&self) -> MutexGuard<'_, Layer> {
        self.layer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn page(&self, of_file: u64, number: u64) -> io::Result<Vec<u8>> {
        let from = number * PAGE;
        let mut page = vec![0; PAGE as usize];
        let there = of_file.saturating_sub(from).min(PAGE) as usize;
        self.file.read_exact_at(&mut page[..there], from)?;
        Ok(page)
    }
}

/// Where each page of a range begins in it: its number, where in the page, and which part of the range.
fn pages(offset: u64, length: usize) -> impl Iterator<Item = (u64, usize, std::ops::Range<usize>)> {
    let mut done = 0;
    std::iter::from_fn(move || {
        if done >= length {
            return None;
        }
        let at = offset + done as u64;
        let within = (at % PAGE) as usize;
        let piece = (PAGE as usize - within).min(length - done);
        let range = done..done + piece;
        done += piece;
        Some((at / PAGE, within, range))
    })
}

impl StorageBackend for Overlay {
    fn len(&self) -> io::Result<u64> {
        Ok(self.layer().length)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let layer = self.layer();
        if offset + out.len() as u64 > layer.length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        for (number, within, range) in pages(offset, out.len()) {
            let length = range.len();
            match layer.pages.get(&number) {
                Some(page) => out[range].copy_from_slice(&page[within..within + length]),
                None => {
                    out[range].copy_from_slice(&self.page(layer.of_file, number)?[within..within + length])
                }
            }
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut layer = self.layer();
        layer.length = len;
        layer.of_file = layer.of_file.min(len);
        layer.pages.retain(|number, _| number * PAGE < len);
        if let Some(page) = layer.pages.get_mut(&(len / PAGE)) {
            page[(len % PAGE) as usize..].fill(0);
        }
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut layer = self.layer();
        for (number, within, range) in pages(offset, data.len()) {
            if !layer.pages.contains_key(&number) {
                let page = self.page(layer.of_file, number)?;
                layer.pages.insert(number, page);
            }
            let length = range.len();
            if let Some(page) = layer.pages.get_mut(&number) {
                page[within..within + length].copy_from_slice(&data[range]);
            }
        }
        Ok(())
    }
}

/// A file on a disk that is made slow, or whose syncs fail from some time on: for trials alone.
#[derive(Debug)]
pub struct Troubled {
    file: FileBackend,
    delay: Duration,
    fails_after: Option<u64>,
    syncs: AtomicU64,
}

impl Troubled {
    /// Each sync takes so much longer; after so many they fail.
    pub fn new(file: FileBackend, delay: Duration, fails_after: Option<u64>) -> Troubled {
        Troubled { file, delay, fails_after, syncs: AtomicU64::new(0) }
    }
}

impl StorageBackend for Troubled {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        let before = self.syncs.fetch_add(1, Ordering::Relaxed);
        if self.fails_after.is_some_and(|most| before >= most) {
            return Err(io::Error::other("the trial's disk takes no more syncs"));
        }
        // On the log's own thread, or before there is anything else.
        std::thread::sleep(self.delay);
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
}

/// A disk in memory that stops at a step: what was not synced by then is kept in part, torn or not at all, by chance.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Mutex<Platter>>);

/// A write since the last sync: where, and what; or a new length.
#[derive(Debug)]
enum Pending {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug)]
struct Platter {
    synced: Vec<u8>,
    /// What readers see.
    now: Vec<u8>,
    pending: Vec<Pending>,
    steps: u64,
    /// From this step on nothing works any more: a crash, or only syncs, a disk that fails.
    stops_at: u64,
    only_syncs: bool,
    /// From now on nothing is kept, and syncs say that they are done.
    lies: bool,
}

impl Memory {
    /// One that holds this, and never stops.
    pub fn new(image: Vec<u8>) -> Memory {
        let platter = Platter {
            now: image.clone(),
            synced: image,
            pending: Vec::new(),
            steps: 0,
            stops_at: u64::MAX,
            only_syncs: false,
            lies: false,
        };
        Memory(Arc::new(Mutex::new(platter)))
    }

    fn platter(&self) -> MutexGuard<'_, Platter> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// It stops so many steps from now: altogether, or for syncs alone.
    pub fn stop_in(&self, steps: u64, only_syncs: bool) {
        let mut platter = self.platter();
        platter.stops_at = platter.steps.saturating_add(steps);
        platter.only_syncs = only_syncs;
    }

    /// It keeps nothing more, and says that it has synced it: what no store survives.
    pub fn lies(&self, lies: bool) {
        self.platter().lies = lies;
    }

    /// Whether it has come to where it stops.
    pub fn stopped(&self) -> bool {
        let platter = self.platter();
        platter.steps >= platter.stops_at
    }

    /// What a machine finds that starts again.
    pub fn after_crash(&self, rng: &mut impl Rng) -> Vec<u8> {
        let platter = self.platter();
        let mut image = platter.synced.clone();
        if platter.lies {
            return image;
        }
        for change in &platter.pending {
            if rng.random_bool(0.5) {
                continue;
            }
            match change {
                // Sectors of 512 bytes are written whole, and a write of more of them may be torn.
                Pending::Write(at, bytes) if rng.random_bool(0.5) => {
                    let kept = rng.random_range(0..=bytes.len() / 512) * 512;
                    put(&mut image, *at, &bytes[..kept]);
                }
                Pending::Write(at, bytes) => put(&mut image, *at, bytes),
                Pending::Length(length) => image.resize(*length as usize, 0),
            }
        }
        image
    }
}

fn put(image: &mut Vec<u8>, at: u64, bytes: &[u8]) {
    let end = at as usize + bytes.len();
    if image.len() < end {
        image.resize(end, 0);
    }
    image[at as usize..end].copy_from_slice(bytes);
}

impl Platter {
    fn step(&mut self, sync: bool) -> io::Result<()> {
        self.steps += 1;
        match self.steps >= self.stops_at && (sync || !self.only_syncs) {
            true => Err(io::Error::other("the disk has stopped")),
            false => Ok(()),
        }
    }
}

impl StorageBackend for Memory {
    fn len(&self) -> io::Result<u64> {
        Ok(self.platter().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let platter = self.platter();
        let from = offset as usize;
        let bytes = platter.now.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut platter = self.platter();
        platter.step(false)?;
        platter.now.resize(len as usize, 0);
        platter.pending.push(Pending::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut platter = self.platter();
        platter.step(true)?;
        if platter.lies {
            return Ok(());
        }
        for change in std::mem::take(&mut platter.pending) {
            match change {
                Pending::Write(at, bytes) => put(&mut platter.synced, at, &bytes),
                Pending::Length(length) => platter.synced.resize(length as usize, 0),
            }
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut platter = self.platter();
        platter.step(false)?;
        put(&mut platter.now, offset, data);
        platter.pending.push(Pending::Write(offset, data.to_vec()));
        Ok(())
    }
}
