//! The commands and queries of operators.

use marblecroft_control_messages::frame::{decode, DecodeError, Fleet};
use marblecroft_control_messages::published::Decision;
use marblecroft_coordination::client::{CallError, Client};
use marblecroft_coordination::state::{Op, Owner};
use marblecroft_singleton_roles::keys::{
    decode_value, encode_value, Keys, OperatorCommand, RoleOwner, ROLES,
};
use marblecroft_zone_failover::decision::{ZoneDecision, ZonesDecision};
use quick_error::quick_error;
use std::time::Duration;

/// How long an operator waits for the coordination service.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// Why a command was not carried out.
    #[derive(Debug)]
    pub enum CommandError {
        /// There is no such role.
        UnknownRole(name: String) {
            display("{name}: the duties are {}", ROLES.join(", "))
        }
        /// There is no decision on the zones yet.
        NothingDecided {
            display("nothing is decided yet")
        }
        /// The decision cannot be decoded.
        Malformed(cause: DecodeError) {
            display("{cause}")
            from()
        }
        /// The coordination service did not carry it out.
        Coordination(cause: CallError) {
            display("{cause}")
            from()
        }
    }
}

/// The coordination service, and the keys of the fleet in it.
pub struct Operator {
    client: Client,
    fleet: Fleet,
    keys: Keys,
}

impl Operator {
    /// Creates an operator of a fleet at these addresses of the coordination service.
    pub fn new(addresses: Vec<String>, fleet: &str) -> Operator {
        Operator { client: Client::new(addresses), fleet: Fleet::named(fleet), keys: Keys::of(fleet) }
    }

    /// Overrides a zone: it does not serve until it is released.
    pub async fn hold_zone(&self, zone: &str) -> Result<(), CommandError> {
        self.put(self.keys.zone_override(zone), vec![1]).await
    }

    /// Withdraws the override of a zone.
    pub async fn release_zone(&self, zone: &str) -> Result<(), CommandError> {
        self.delete(self.keys.zone_override(zone)).await
    }

    /// Sets the command on a role.
    pub async fn command_role(&self, role: &str, command: OperatorCommand) -> Result<(), CommandError> {
        check_role(role)?;
        self.put(self.keys.operator_command(role), encode_value(&command)).await
    }

    /// Withdraws the command on a role.
    pub async fn withdraw_command(&self, role: &str) -> Result<(), CommandError> {
        check_role(role)?;
        self.delete(self.keys.operator_command(role)).await
    }

    async fn put(&self, key: String, value: Vec<u8>) -> Result<(), CommandError> {
        self.call(Op::Put { key, value, expect: None, owner: Owner::Nobody }).await
    }

    async fn delete(&self, key: String) -> Result<(), CommandError> {
        self.call(Op::Delete { key, expect: None, owner: Owner::Nobody }).await
    }

    async fn call(&self, op: Op) -> Result<(), CommandError> {
        self.client.call(op, CALL_TIMEOUT).await?;
        Ok(())
    }

    /// Prints the decision on the zones.
    pub async fn print_zones(&self) -> Result<(), CommandError> {
        let key = self.keys.decision("zones");
        let (_, values) = self.client.read(&key, CALL_TIMEOUT).await?;
        let value = values.into_iter().find(|(name, ..)| *name == key);
        let (_, bytes, _) = value.ok_or(CommandError::NothingDecided)?;
        let decision = decode::<Decision<ZonesDecision>>(self.fleet, &bytes)?;
        println!("token {} revision {}", decision.stamp.token, decision.stamp.revision);
        for zone in &decision.body.zones {
            print_zone(zone, &decision.body);
        }
        Ok(())
    }

    /// Prints the owner of each role and the command on it.
    pub async fn print_roles(&self) -> Result<(), CommandError> {
        let (_, values) = self.client.read(&self.keys.prefix, CALL_TIMEOUT).await?;
        let value =
            |key: String| values.iter().find(|(name, ..)| *name == key).map(|(_, value, _)| value.as_slice());
        for role in ROLES {
            let owner = value(self.keys.owner(role)).and_then(decode_value::<RoleOwner>);
            let command = value(self.keys.operator_command(role)).and_then(decode_value::<OperatorCommand>);
            print_role(role, owner, command);
        }
        Ok(())
    }
}

fn check_role(name: &str) -> Result<(), CommandError> {
    if ROLES.contains(&name) {
        Ok(())
    } else {
        Err(CommandError::UnknownRole(name.to_owned()))
    }
}

fn print_zone(zone: &ZoneDecision, decided: &ZonesDecision) {
    let shares = decided.zones.iter().zip(&zone.shares).filter(|(_, share)| **share > 0.0);
    let shares: Vec<String> = shares.map(|(to, share)| format!("{} {:.3}", to.name, share)).collect();
    println!(
        "{} {} bears {:.1} asked {:.1} gateways {} sends {}",
        zone.name,
        zone.state.name(),
        zone.capacity,
        zone.demand,
        zone.gateways,
        shares.join(", ")
    );
}

fn print_role(role: &str, owner: Option<RoleOwner>, command: Option<OperatorCommand>) {
    let command = match command {
        None => String::new(),
        Some(OperatorCommand::Pause) => ", paused".to_owned(),
        Some(OperatorCommand::Move(candidate)) => format!(", to be {candidate}'s"),
    };
    match owner {
        Some(owner) => {
            println!(
                "{role}: {} at {} under token {}{command}",
                owner.candidate, owner.report_address, owner.token
            )
        }
        None => println!("{role}: nobody yet{command}"),
    }
}
