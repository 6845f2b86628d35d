//! The stores of cells on sockets: controllers send them requests, and the pay servers of a cell write to
//! them.

use crate::deployment::UNSAFE;
use crate::endpoint::Endpoint;
use crate::harness::discovery::LinkListener;
use crate::harness::RunContext;
use crate::history::{Event, Trace};
use crate::stand_ins::cell::{Cell, NextStep};
use marblecroft_control_messages::frame::{decode, encode, Fleet, Header, HEADER_BYTES};
use marblecroft_shard_map::cell::{CellReply, CellRequest};
use marblecroft_shard_map::fencing::EpochMismatch;
use marblecroft_shard_map::map::{Epoch, Firm};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

const PIPE_BYTES: usize = 32 << 10;

/// The stores of all cells, and the listeners for the controllers' requests.
pub struct Cells {
    context: Rc<RunContext>,
    fleet: Fleet,
    cells: Vec<RefCell<Cell>>,
    /// The listeners of the cells, by number.
    pub listeners: Vec<Rc<LinkListener>>,
}

impl Cells {
    /// Starts the stores of the cells.
    pub fn new(context: &Rc<RunContext>, fleet: &str) -> io::Result<Rc<Cells>> {
        let scenario = &context.scenario;
        let count = scenario.fleet.cells as u16;
        let listeners = (0..count)
            .map(|i| LinkListener::open(context, Endpoint::Cell(i)))
            .collect::<io::Result<Vec<_>>>()?;
        let cells = Rc::new(Cells {
            context: context.clone(),
            fleet: Fleet::named(fleet),
            cells: (0..count).map(|_| RefCell::new(Cell::new(scenario.fleet.fencing))).collect(),
            listeners,
        });
        for (number, listener) in (0..).zip(&cells.listeners) {
            let serving = cells.clone();
            listener.clone().serve(PIPE_BYTES, move |pipe, _| {
                let cells = serving.clone();
                async move { drop(cells.serve(number, pipe).await) }
            });
        }
        Ok(cells)
    }

    /// Responds to requests until the connection ends or a request is invalid.
    async fn serve(self: Rc<Self>, number: u16, mut pipe: DuplexStream) -> io::Result<()> {
        let invalid = |why| io::Error::other(format!("{why}"));
        loop {
            let mut bytes = vec![0; HEADER_BYTES];
            pipe.read_exact(&mut bytes).await?;
            let length = Header::read(self.fleet, &bytes).map_err(invalid)?.payload_bytes;
            bytes.resize(HEADER_BYTES + length, 0);
            pipe.read_exact(&mut bytes[HEADER_BYTES..]).await?;
            let request = decode::<CellRequest>(self.fleet, &bytes).map_err(invalid)?;
            let step = self.cell(number).map(|cell| cell.borrow_mut().handle_request(&request));
            let reply = match step {
                Some(NextStep::Reply(reply)) => reply,
                Some(NextStep::Copy(to, records)) => self.copy(number, to, records),
                None => CellReply::InProgress,
            };
            let answer = encode(self.fleet, &reply).ok_or_else(|| io::Error::other("too long"))?;
            pipe.write_all(&answer).await?;
        }
    }

    /// Copies records to another cell, if the link to it is open.
    fn copy(&self, from: u16, to: u32, records: Vec<(Firm, Trace)>) -> CellReply {
        let Ok(to) = u16::try_from(to) else { return CellReply::InProgress };
        let is_open = self.context.link_state(Endpoint::Cell(from), Endpoint::Cell(to)).open;
        let is_up = self.listeners.get(usize::from(to)).is_some_and(|listener| listener.is_accepting());
        match self.cell(to).filter(|_| is_open && is_up) {
            Some(cell) => {
                cell.borrow_mut().insert_copied(records);
                CellReply::Done
            }
            None => CellReply::InProgress,
        }
    }

    fn cell(&self, number: u16) -> Option<&RefCell<Cell>> {
        self.cells.get(usize::from(number))
    }

    /// Whether requests of this class write to the stores of cells.
    pub fn stores_class(&self, class: u8) -> bool {
        !self.cells.is_empty() && self.context.scenario.shards.is_some() && class == UNSAFE
    }

    /// Checks whether the store of a cell admits a write that has arrived at one of its pay servers.
    pub fn admit(
        &self,
        number: u16,
        attempt: u64,
        firm: Firm,
        epoch: Option<Epoch>,
    ) -> Result<(), EpochMismatch> {
        let Some(cell) = self.cell(number) else { return Ok(()) };
        let admitted = cell.borrow_mut().admit(attempt, firm, epoch);
        let epoch = epoch.unwrap_or(0);
        self.context.record(Event::ShardWrite {
            attempt,
            cell: number,
            firm,
            epoch,
            admitted: admitted.is_ok(),
        });
        admitted
    }

    /// Records that an attempt has started to run.
    pub fn ran(&self, number: u16, attempt: u64, trace: Trace) {
        self.cell(number).into_iter().for_each(|cell| cell.borrow_mut().ran(attempt, trace));
    }

    /// Records that an attempt has ended.
    pub fn ended(&self, number: u16, attempt: u64) {
        self.cell(number).into_iter().for_each(|cell| cell.borrow_mut().ended(attempt));
    }

    /// Wipes the state of a cell.
    pub fn wipe(&self, number: u16) {
        let fencing = self.context.scenario.fleet.fencing;
        self.cell(number).into_iter().for_each(|cell| drop(cell.replace(Cell::new(fencing))));
    }

    /// Returns all writes in all cells.
    pub fn written(&self) -> BTreeSet<(Trace, Firm)> {
        let writes_of = |cell: &RefCell<Cell>| cell.borrow().written().collect::<Vec<_>>();
        self.cells.iter().flat_map(writes_of).collect()
    }

    /// Returns the cells that hold a write.
    pub fn cells_with(&self, firm: Firm, trace: Trace) -> Vec<u16> {
        let contains = |cell: &RefCell<Cell>| cell.borrow().contains(firm, trace);
        (0..).zip(&self.cells).filter(|(_, cell)| contains(cell)).map(|(number, _)| number).collect()
    }
}
