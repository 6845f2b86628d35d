//! Applies operations; batches are atomic.

use super::bounds;
use super::command::{Done, Op, OperationError, Outcome};
use super::tables::State;
use super::undo::UndoLog;

impl State {
    /// Applies an operation. A batch in which one operation fails changes nothing.
    pub(super) fn apply_op(&mut self, op: &Op) -> Outcome {
        match op {
            Op::Batch(ops) => self.apply_batch(ops),
            op => self.apply_single_op(op),
        }
    }

    fn apply_batch(&mut self, ops: &[Op]) -> Outcome {
        let value_bytes = |op: &Op| if let Op::Put { value, .. } = op { value.len() } else { 0 };
        let bytes: usize = ops.iter().map(value_bytes).sum();
        if ops.len() > bounds::MAX_BATCH_OPS || bytes > bounds::MAX_BATCH_BYTES {
            return Err(OperationError::Bad("batch".to_owned()));
        }
        let mut undo = UndoLog::begin(self);
        let mut results = Vec::with_capacity(ops.len());
        for op in ops {
            undo.save(self, op);
            match self.apply_single_op(op) {
                Ok(result) => results.push(result),
                Err(error) => {
                    undo.roll_back(self);
                    return Err(error);
                }
            }
        }
        Ok(Done::All(results))
    }

    fn apply_single_op(&mut self, op: &Op) -> Outcome {
        match op {
            Op::Open { ttl_ms, name } => self.open(*ttl_ms, name),
            Op::Close { session } => self.close(*session),
            Op::Acquire { session, lock, wait } => self.acquire(*session, lock, *wait),
            Op::Release { session, lock } => self.release(*session, lock),
            Op::Revoke { lock } => self.revoke(lock),
            Op::Put { key, value, expect, owner } => self.put(key, value, *expect, owner),
            Op::Delete { key, expect, owner } => self.delete(key, *expect, owner),
            Op::Check { lock, token } => self.check_token(lock, *token).map(|()| Done::Nothing),
            Op::Batch(_) => Err(OperationError::Bad("batch in a batch".to_owned())),
        }
    }
}
