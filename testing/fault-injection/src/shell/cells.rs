//! Cells on sockets: stewards ask them, their pay servers write there.

use crate::deployment::UNSAFE;
use crate::endpoint::End;
use crate::history::{Event, Trace};
use crate::shell::lists::Door;
use crate::shell::World;
use crate::stand::cell::{Cell, Then};
use marblecroft_control_messages::frame::{decode, encode, Fleet, Header, HEADER_BYTES};
use marblecroft_shard_map::cell::{CellReply, CellRequest};
use marblecroft_shard_map::fencing::EpochMismatch;
use marblecroft_shard_map::map::{Epoch, Firm};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

const PIPE: usize = 32 << 10;

/// All cells, and the doors at which stewards ask them.
pub struct Cells {
    world: Rc<World>,
    fleet: Fleet,
    cells: Vec<RefCell<Cell>>,
    /// Their listeners, by number.
    pub doors: Vec<Rc<Door>>,
}

impl Cells {
    /// Starts the stores of the cells.
    pub fn new(world: &Rc<World>, fleet: &str) -> io::Result<Rc<Cells>> {
        let scenario = &world.scenario;
        let count = scenario.fleet.cells as u16;
        let doors = (0..count).map(|i| Door::open(world, End::Cell(i))).collect::<io::Result<Vec<_>>>()?;
        let cells = Rc::new(Cells {
            world: world.clone(),
            fleet: Fleet::named(fleet),
            cells: (0..count).map(|_| RefCell::new(Cell::new(scenario.fleet.fencing))).collect(),
            doors,
        });
        for (number, door) in (0..).zip(&cells.doors) {
            let serving = cells.clone();
            door.clone().serve(PIPE, move |pipe, _| {
                let cells = serving.clone();
                async move { drop(cells.serve(number, pipe).await) }
            });
        }
        Ok(cells)
    }

    /// Answers asks until the connection ends, or says something that is no ask.
    async fn serve(self: Rc<Self>, number: u16, mut pipe: DuplexStream) -> io::Result<()> {
        let strange = |why| io::Error::other(format!("{why}"));
        loop {
            let mut bytes = vec![0; HEADER_BYTES];
            pipe.read_exact(&mut bytes).await?;
            let length = Header::read(self.fleet, &bytes).map_err(strange)?.payload_bytes;
            bytes.resize(HEADER_BYTES + length, 0);
            pipe.read_exact(&mut bytes[HEADER_BYTES..]).await?;
            let asked = decode::<CellRequest>(self.fleet, &bytes).map_err(strange)?;
            let then = self.of(number).map(|cell| cell.borrow_mut().ask(&asked));
            let said = match then {
                Some(Then::Say(said)) => said,
                Some(Then::Copy(to, records)) => self.copy(number, to, records),
                None => CellReply::InProgress,
            };
            let answer = encode(self.fleet, &said).ok_or_else(|| io::Error::other("too long"))?;
            pipe.write_all(&answer).await?;
        }
    }

    /// Copies to another cell, where the way is open.
    fn copy(&self, from: u16, to: u32, records: Vec<(Firm, Trace)>) -> CellReply {
        let Ok(to) = u16::try_from(to) else { return CellReply::InProgress };
        let open = self.world.path(End::Cell(from), End::Cell(to)).open;
        let lives = self.doors.get(usize::from(to)).is_some_and(|door| door.is_open());
        match self.of(to).filter(|_| open && lives) {
            Some(cell) => {
                cell.borrow_mut().copied(records);
                CellReply::Done
            }
            None => CellReply::InProgress,
        }
    }

    fn of(&self, number: u16) -> Option<&RefCell<Cell>> {
        self.cells.get(usize::from(number))
    }

    /// Whether books are written here at all.
    pub fn takes(&self, class: u8) -> bool {
        !self.cells.is_empty() && self.world.scenario.shards.is_some() && class == UNSAFE
    }

    /// A write comes to a server of a cell.
    pub fn admit(
        &self,
        number: u16,
        attempt: u64,
        firm: Firm,
        epoch: Option<Epoch>,
    ) -> Result<(), EpochMismatch> {
        let Some(cell) = self.of(number) else { return Ok(()) };
        let admitted = cell.borrow_mut().admit(attempt, firm, epoch);
        let epoch = epoch.unwrap_or(0);
        self.world.record(Event::ShardWrite {
            attempt,
            cell: number,
            firm,
            epoch,
            admitted: admitted.is_ok(),
        });
        admitted
    }

    /// Records that an attempt runs.
    pub fn ran(&self, number: u16, attempt: u64, trace: Trace) {
        self.of(number).into_iter().for_each(|cell| cell.borrow_mut().ran(attempt, trace));
    }

    /// Records that an attempt has ended.
    pub fn ended(&self, number: u16, attempt: u64) {
        self.of(number).into_iter().for_each(|cell| cell.borrow_mut().ended(attempt));
    }

    /// Its state is gone.
    pub fn wipe(&self, number: u16) {
        let fencing = self.world.scenario.fleet.fencing;
        self.of(number).into_iter().for_each(|cell| drop(cell.replace(Cell::new(fencing))));
    }

    /// All that is written anywhere.
    pub fn written(&self) -> BTreeSet<(Trace, Firm)> {
        let of = |cell: &RefCell<Cell>| cell.borrow().written().collect::<Vec<_>>();
        self.cells.iter().flat_map(of).collect()
    }

    /// Where a write is, now.
    pub fn holding(&self, firm: Firm, trace: Trace) -> Vec<u16> {
        let holds = |cell: &RefCell<Cell>| cell.borrow().holds(firm, trace);
        (0..).zip(&self.cells).filter(|(_, cell)| holds(cell)).map(|(number, _)| number).collect()
    }
}
