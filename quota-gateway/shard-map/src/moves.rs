//! The steps of a move: what each one needs before the next, and what each asks of cells. All of it can be read from the map, so an
//! owner that was lost is followed by one that goes on.
//!
//! | step written down | asked of cells | what the next step needs |
//! | --- | --- | --- |
//! | planned | nothing | a place among those that move at once |
//! | fencing, epoch + 1 | the old cell shuts the range at the new epoch | it has, and nothing of before is out there; or, where cells do not fence, every gateway has said that it goes by this map or has lapsed, and the longest attempt is over |
//! | drained | the old cell's range is copied to the new one | the new cell has it |
//! | copied | the new cell opens the range at the new epoch | it has; or nothing where cells do not fence |
//! | serving there | nothing | |

use crate::map::{Book, BookMap, Cell, Epoch, Firm, Move, Step};
use serde::{Deserialize, Serialize};

/// What is asked of a cell; asked again until it is answered, so each can be done twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// Turn away whatever is under a lower epoch from now on, and say once nothing of before is out.
    Shut { cell: Cell, range: (Firm, Firm), epoch: Epoch },
    /// Copy what it has of the range to the other, under the epoch.
    Copy { cell: Cell, to: Cell, range: (Firm, Firm), epoch: Epoch },
    /// Take writes under the epoch.
    Open { cell: Cell, range: (Firm, Firm), epoch: Epoch },
}

impl Ask {
    /// Who is asked.
    pub fn cell(&self) -> Cell {
        let (Ask::Shut { cell, .. } | Ask::Copy { cell, .. } | Ask::Open { cell, .. }) = self;
        *cell
    }
}

/// What a step asks of cells, where they fence or not.
pub fn asks(map: &BookMap, at: usize, fencing: bool) -> Option<Ask> {
    let book = map.books[at];
    let range = (book.first, map.end(at));
    let Move { to, step } = book.moving?;
    let (cell, epoch) = (book.cell, book.epoch);
    match step {
        Step::Planned => None,
        Step::Fencing => fencing.then_some(Ask::Shut { cell, range, epoch }),
        Step::Drained => Some(Ask::Copy { cell, to, range, epoch }),
        Step::Copied => fencing.then_some(Ask::Open { cell: to, range, epoch }),
    }
}

/// Why a change of a book is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    NoBook,
    /// It moves already.
    Moves,
    /// It is there.
    There,
    /// It has been copied: there is no way back.
    TooLate,
    /// It does not move, or not so far.
    NotSo,
}

fn moving(book: &Book, step: Step) -> Result<Move, Refused> {
    book.moving.filter(|moving| moving.step == step).ok_or(Refused::NotSo)
}

impl BookMap {
    /// A move is decided.
    pub fn plan(&mut self, at: usize, to: Cell) -> Result<(), Refused> {
        let book = self.books.get_mut(at).ok_or(Refused::NoBook)?;
        if book.moving.is_some() {
            return Err(Refused::Moves);
        }
        if book.cell == to {
            return Err(Refused::There);
        }
        book.moving = Some(Move { to, step: Step::Planned });
        Ok(())
    }

    /// From here on nobody writes: the epoch rises.
    pub fn fence(&mut self, at: usize) -> Result<(), Refused> {
        let book = self.books.get_mut(at).ok_or(Refused::NoBook)?;
        let moves = moving(book, Step::Planned)?;
        book.epoch += 1;
        book.moving = Some(Move { step: Step::Fencing, ..moves });
        Ok(())
    }

    /// Nothing under the old epoch can take effect any more.
    pub fn drained(&mut self, at: usize, epoch: Epoch) -> Result<(), Refused> {
        self.step(at, epoch, Step::Fencing, Step::Drained)
    }

    /// The new cell has everything.
    pub fn copied(&mut self, at: usize, epoch: Epoch) -> Result<(), Refused> {
        self.step(at, epoch, Step::Drained, Step::Copied)
    }

    /// An answer under another epoch is of another move.
    fn step(&mut self, at: usize, epoch: Epoch, from: Step, to: Step) -> Result<(), Refused> {
        let book = self.books.get_mut(at).ok_or(Refused::NoBook)?;
        let moves = moving(book, from)?;
        if book.epoch != epoch {
            return Err(Refused::NotSo);
        }
        book.moving = Some(Move { step: to, ..moves });
        Ok(())
    }

    /// The new cell serves.
    pub fn serve(&mut self, at: usize, epoch: Epoch) -> Result<(), Refused> {
        let book = self.books.get_mut(at).ok_or(Refused::NoBook)?;
        let moves = moving(book, Step::Copied)?;
        if book.epoch != epoch {
            return Err(Refused::NotSo);
        }
        (book.cell, book.moving) = (moves.to, None);
        Ok(())
    }

    /// Back to the old cell, up to `copied` and never after. Under a higher epoch, as the old cell turns the one before away: it
    /// is opened there by a move to itself that is `copied` at once.
    pub fn abandon(&mut self, at: usize) -> Result<(), Refused> {
        let book = self.books.get_mut(at).ok_or(Refused::NoBook)?;
        let Some(moves) = book.moving else { return Err(Refused::NotSo) };
        match moves.step {
            Step::Planned => book.moving = None,
            Step::Fencing | Step::Drained => {
                book.epoch += 1;
                book.moving = Some(Move { to: book.cell, step: Step::Copied });
            }
            Step::Copied => return Err(Refused::TooLate),
        }
        Ok(())
    }

    /// Cuts a book that stands still in two, which keep cell and epoch.
    pub fn split(&mut self, at: usize, middle: Firm) -> Result<(), Refused> {
        let end = self.end(at);
        let book = *self.books.get(at).ok_or(Refused::NoBook)?;
        if book.moving.is_some() {
            return Err(Refused::Moves);
        }
        if middle <= book.first || middle >= end || self.books.len() >= crate::map::BOOKS_MOST {
            return Err(Refused::NotSo);
        }
        self.books.insert(at + 1, Book { first: middle, ..book });
        Ok(())
    }

    /// Makes a book and the next one, both still, at one cell and of one epoch, one again.
    pub fn merge(&mut self, at: usize) -> Result<(), Refused> {
        let (Some(a), Some(b)) = (self.books.get(at), self.books.get(at + 1)) else {
            return Err(Refused::NoBook);
        };
        if a.moving.is_some() || b.moving.is_some() {
            return Err(Refused::Moves);
        }
        if (a.cell, a.epoch) != (b.cell, b.epoch) {
            return Err(Refused::NotSo);
        }
        self.books.remove(at + 1);
        Ok(())
    }
}
