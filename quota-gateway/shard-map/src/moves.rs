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

use crate::map::{Cell, Epoch, Firm, Migration, MigrationStep, Shard, ShardMap};
use serde::{Deserialize, Serialize};

/// What is asked of a cell; asked again until it is answered, so each can be done twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CellOperation {
    /// Turn away whatever is under a lower epoch from now on, and say once nothing of before is out.
    Close { cell: Cell, range: (Firm, Firm), epoch: Epoch },
    /// Copy what it has of the range to the other, under the epoch.
    Copy { cell: Cell, to: Cell, range: (Firm, Firm), epoch: Epoch },
    /// Take writes under the epoch.
    Open { cell: Cell, range: (Firm, Firm), epoch: Epoch },
}

impl CellOperation {
    /// Who is asked.
    pub fn cell(&self) -> Cell {
        let (CellOperation::Close { cell, .. }
        | CellOperation::Copy { cell, .. }
        | CellOperation::Open { cell, .. }) = self;
        *cell
    }
}

/// What a step asks of cells, where they fence or not.
pub fn cell_operation(map: &ShardMap, at: usize, fencing: bool) -> Option<CellOperation> {
    let book = map.shards[at];
    let range = (book.first, map.end(at));
    let Migration { to, step } = book.migration?;
    let (cell, epoch) = (book.cell, book.epoch);
    match step {
        MigrationStep::Planned => None,
        MigrationStep::Fencing => fencing.then_some(CellOperation::Close { cell, range, epoch }),
        MigrationStep::Drained => Some(CellOperation::Copy { cell, to, range, epoch }),
        MigrationStep::Copied => fencing.then_some(CellOperation::Open { cell: to, range, epoch }),
    }
}

/// Why a change of a book is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationError {
    NoSuchShard,
    /// It moves already.
    Moves,
    /// It is there.
    There,
    /// It has been copied: there is no way back.
    TooLate,
    /// It does not move, or not so far.
    NotSo,
}

fn moving(book: &Shard, step: MigrationStep) -> Result<Migration, MigrationError> {
    book.migration.filter(|moving| moving.step == step).ok_or(MigrationError::NotSo)
}

impl ShardMap {
    /// A move is decided.
    pub fn plan(&mut self, at: usize, to: Cell) -> Result<(), MigrationError> {
        let book = self.shards.get_mut(at).ok_or(MigrationError::NoSuchShard)?;
        if book.migration.is_some() {
            return Err(MigrationError::Moves);
        }
        if book.cell == to {
            return Err(MigrationError::There);
        }
        book.migration = Some(Migration { to, step: MigrationStep::Planned });
        Ok(())
    }

    /// From here on nobody writes: the epoch rises.
    pub fn raise_epoch(&mut self, at: usize) -> Result<(), MigrationError> {
        let book = self.shards.get_mut(at).ok_or(MigrationError::NoSuchShard)?;
        let moves = moving(book, MigrationStep::Planned)?;
        book.epoch += 1;
        book.migration = Some(Migration { step: MigrationStep::Fencing, ..moves });
        Ok(())
    }

    /// Nothing under the old epoch can take effect any more.
    pub fn drained(&mut self, at: usize, epoch: Epoch) -> Result<(), MigrationError> {
        self.step(at, epoch, MigrationStep::Fencing, MigrationStep::Drained)
    }

    /// The new cell has everything.
    pub fn copied(&mut self, at: usize, epoch: Epoch) -> Result<(), MigrationError> {
        self.step(at, epoch, MigrationStep::Drained, MigrationStep::Copied)
    }

    /// An answer under another epoch is of another move.
    fn step(
        &mut self,
        at: usize,
        epoch: Epoch,
        from: MigrationStep,
        to: MigrationStep,
    ) -> Result<(), MigrationError> {
        let book = self.shards.get_mut(at).ok_or(MigrationError::NoSuchShard)?;
        let moves = moving(book, from)?;
        if book.epoch != epoch {
            return Err(MigrationError::NotSo);
        }
        book.migration = Some(Migration { step: to, ..moves });
        Ok(())
    }

    /// The new cell serves.
    pub fn serve(&mut self, at: usize, epoch: Epoch) -> Result<(), MigrationError> {
        let book = self.shards.get_mut(at).ok_or(MigrationError::NoSuchShard)?;
        let moves = moving(book, MigrationStep::Copied)?;
        if book.epoch != epoch {
            return Err(MigrationError::NotSo);
        }
        (book.cell, book.migration) = (moves.to, None);
        Ok(())
    }

    /// Back to the old cell, up to `copied` and never after. Under a higher epoch, as the old cell turns the one before away: it
    /// is opened there by a move to itself that is `copied` at once.
    pub fn abandon(&mut self, at: usize) -> Result<(), MigrationError> {
        let book = self.shards.get_mut(at).ok_or(MigrationError::NoSuchShard)?;
        let Some(moves) = book.migration else { return Err(MigrationError::NotSo) };
        match moves.step {
            MigrationStep::Planned => book.migration = None,
            MigrationStep::Fencing | MigrationStep::Drained => {
                book.epoch += 1;
                book.migration = Some(Migration { to: book.cell, step: MigrationStep::Copied });
            }
            MigrationStep::Copied => return Err(MigrationError::TooLate),
        }
        Ok(())
    }

    /// Cuts a book that stands still in two, which keep cell and epoch.
    pub fn split(&mut self, at: usize, middle: Firm) -> Result<(), MigrationError> {
        let end = self.end(at);
        let book = *self.shards.get(at).ok_or(MigrationError::NoSuchShard)?;
        if book.migration.is_some() {
            return Err(MigrationError::Moves);
        }
        if middle <= book.first || middle >= end || self.shards.len() >= crate::map::MAX_SHARDS {
            return Err(MigrationError::NotSo);
        }
        self.shards.insert(at + 1, Shard { first: middle, ..book });
        Ok(())
    }

    /// Makes a book and the next one, both still, at one cell and of one epoch, one again.
    pub fn merge(&mut self, at: usize) -> Result<(), MigrationError> {
        let (Some(a), Some(b)) = (self.shards.get(at), self.shards.get(at + 1)) else {
            return Err(MigrationError::NoSuchShard);
        };
        if a.migration.is_some() || b.migration.is_some() {
            return Err(MigrationError::Moves);
        }
        if (a.cell, a.epoch) != (b.cell, b.epoch) {
            return Err(MigrationError::NotSo);
        }
        self.shards.remove(at + 1);
        Ok(())
    }
}
