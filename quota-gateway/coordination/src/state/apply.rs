//! Applies the commands of the replicated log.

use super::command::{Command, Outcome};
use super::tables::State;

impl State {
    /// Applies a command. Returns the outcome of a client's call, or None for a command of the leader.
    pub fn apply(&mut self, command: &Command) -> Option<Outcome> {
        let outcome = match command {
            Command::Call { client, number, acknowledged, op } => {
                Some(self.call(*client, *number, *acknowledged, op))
            }
            Command::ExpireSessions { sessions } => {
                sessions.iter().for_each(|id| self.end_session(*id));
                None
            }
            Command::RaiseTokenFloor { token } => {
                self.last_token = self.last_token.max(*token);
                None
            }
            Command::ExpireClients { clients } => {
                clients.iter().for_each(|client| drop(self.clients.remove(client)));
                None
            }
        };
        self.compact_history();
        outcome
    }
}
