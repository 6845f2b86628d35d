//! A read-only file whose changes are kept in memory.

use redb::StorageBackend;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::ops::Range;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

const PAGE_BYTES: u64 = 4096;

/// A file that is only read. Writes are kept in memory and are lost when the overlay is dropped. A database
/// writes when it recovers from a crash; on an overlay, the recovered database can be examined without
/// changing the file.
#[derive(Debug)]
pub struct Overlay {
    file: File,
    layer: Mutex<Layer>,
}

#[derive(Debug)]
struct Layer {
    length: u64,
    /// Number of bytes at the start of the file that are still valid. Truncated bytes do not reappear when
    /// the length grows again.
    file_length: u64,
    pages: BTreeMap<u64, Vec<u8>>,
}

impl Overlay {
    /// Opens a file for reading.
    ///
    /// # Errors
    ///
    /// The file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Overlay> {
        let file = File::open(path)?;
        let length = file.metadata()?.len();
        Ok(Overlay { file, layer: Mutex::new(Layer { length, file_length: length, pages: BTreeMap::new() }) })
    }

    fn layer(&self) -> MutexGuard<'_, Layer> {
        self.layer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_page(&self, file_length: u64, number: u64) -> io::Result<Vec<u8>> {
        let offset = number * PAGE_BYTES;
        let mut page = vec![0; PAGE_BYTES as usize];
        let length = file_length.saturating_sub(offset).min(PAGE_BYTES) as usize;
        self.file.read_exact_at(&mut page[..length], offset)?;
        Ok(page)
    }
}

/// A chunk of a byte range that does not cross a page boundary.
struct PageChunk {
    page_number: u64,
    /// Offset of the chunk in the page.
    offset_in_page: usize,
    /// Position of the chunk in the byte range.
    range: Range<usize>,
}

/// Splits a byte range into chunks at page boundaries.
fn page_chunks(offset: u64, length: usize) -> impl Iterator<Item = PageChunk> {
    let mut done = 0;
    std::iter::from_fn(move || {
        if done >= length {
            return None;
        }
        let position = offset + done as u64;
        let offset_in_page = (position % PAGE_BYTES) as usize;
        let chunk_length = (PAGE_BYTES as usize - offset_in_page).min(length - done);
        let range = done..done + chunk_length;
        done += chunk_length;
        Some(PageChunk { page_number: position / PAGE_BYTES, offset_in_page, range })
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
        for PageChunk { page_number, offset_in_page, range } in page_chunks(offset, out.len()) {
            let in_page = offset_in_page..offset_in_page + range.len();
            match layer.pages.get(&page_number) {
                Some(page) => out[range].copy_from_slice(&page[in_page]),
                None => out[range].copy_from_slice(&self.read_page(layer.file_length, page_number)?[in_page]),
            }
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut layer = self.layer();
        layer.length = len;
        layer.file_length = layer.file_length.min(len);
        layer.pages.retain(|number, _| number * PAGE_BYTES < len);
        if let Some(page) = layer.pages.get_mut(&(len / PAGE_BYTES)) {
            page[(len % PAGE_BYTES) as usize..].fill(0);
        }
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut layer = self.layer();
        for PageChunk { page_number, offset_in_page, range } in page_chunks(offset, data.len()) {
            if !layer.pages.contains_key(&page_number) {
                let page = self.read_page(layer.file_length, page_number)?;
                layer.pages.insert(page_number, page);
            }
            if let Some(page) = layer.pages.get_mut(&page_number) {
                page[offset_in_page..offset_in_page + range.len()].copy_from_slice(&data[range]);
            }
        }
        Ok(())
    }
}
