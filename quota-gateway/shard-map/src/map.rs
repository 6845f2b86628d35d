//! The book map, as it is published.

use marblecroft_control_messages::frame::Kind;
use marblecroft_control_messages::published::Body;
use serde::{Deserialize, Serialize};

/// A client firm, by its number.
pub type Firm = u64;
/// A cell of pay servers, as the list names it.
pub type Cell = u32;
/// Of a range; only rises, whatever becomes of it.
pub type Epoch = u64;

/// Firms are numbers under this.
pub const FIRM_END: Firm = 1 << 33;
pub const BOOKS_MOST: usize = 1024;

/// How far a move has come. Each step is written down before it is acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Decided; nothing is different yet.
    Planned,
    /// The epoch is raised: nobody may write, and the old cell turns lower epochs away, or gateways are waited for.
    Fencing,
    /// Nothing under the old epoch can take effect any more: what is there can be copied.
    Drained,
    /// The new cell has all that the old one had. From here on there is no way back.
    Copied,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    pub to: Cell,
    pub step: Step,
}

/// A range of firms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Book {
    /// The first firm; the range ends before the next book's first.
    pub first: Firm,
    pub cell: Cell,
    pub epoch: Epoch,
    pub moving: Option<Move>,
}

impl Book {
    /// Whether pay runs may be written now.
    pub fn open(&self) -> bool {
        self.moving.is_none_or(|moving| moving.step == Step::Planned)
    }
}

/// All books, in the order of their firms; they have neither gap nor overlap, as each begins where the one before ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BookMap {
    pub books: Vec<Book>,
}

impl BookMap {
    /// So many books of the same width, dealt out over cells.
    pub fn even(count: usize, cells: &[Cell]) -> BookMap {
        let first = |i: usize| FIRM_END / count.max(1) as u64 * i as u64;
        let book = |i: usize| Book { first: first(i), cell: cells[i % cells.len()], epoch: 1, moving: None };
        BookMap { books: if cells.is_empty() { Vec::new() } else { (0..count).map(book).collect() } }
    }

    /// The book that a firm is in.
    pub fn find(&self, firm: Firm) -> Option<usize> {
        if firm >= FIRM_END {
            return None;
        }
        self.books.partition_point(|book| book.first <= firm).checked_sub(1)
    }

    /// Where a book ends: its first firm that is not in it.
    pub fn end(&self, at: usize) -> Firm {
        self.books.get(at + 1).map_or(FIRM_END, |next| next.first)
    }
}

impl Body for BookMap {
    const KIND: Kind = Kind::Books;

    fn sensible(&self) -> bool {
        (1..=BOOKS_MOST).contains(&self.books.len())
            && self.books[0].first == 0
            && self.books.windows(2).all(|two| two[0].first < two[1].first)
            && self.books.iter().all(|book| {
                // Back to the own cell is the last step of a move that was abandoned.
                let way = |moving: Move| moving.to != book.cell || moving.step == Step::Copied;
                book.first < FIRM_END && book.epoch > 0 && book.moving.is_none_or(way)
            })
    }
}
