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

/// Timeout of a call to the coordination service.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// There is no such role.
        UnknownRole(name: String) {
            display("{name}: unknown duty; expected one of {}", ROLES.join(", "))
        }
        /// No decision on the zones has been published.
        NothingDecided {
            display("no decision on the zones has been published yet")
        }
        /// The decision cannot be decoded.
        Malformed(cause: DecodeError) {
            display("{cause}")
            from()
        }
        /// The call to the coordination service failed.
        Coordination(cause: CallError) {
            display("{cause}")
            from()
        }
    }
}

/// Executes operator commands through the coordination service.
pub struct Operator {
    client: Client,
    fleet: Fleet,
    keys: Keys,
}

impl Operator {
    /// Creates an operator for a fleet. `addresses` are those of the coordination service.
    pub fn new(addresses: Vec<String>, fleet: &str) -> Operator {
        Operator { client: Client::new(addresses), fleet: Fleet::named(fleet), keys: Keys::of(fleet) }
    }

    /// Takes a zone out of service until it is released.
    pub async fn hold_zone(&self, zone: &str) -> Result<(), CommandError> {
        self.put(self.keys.zone_override(zone), vec![1]).await
    }

    /// Removes the override of a zone.
    pub async fn release_zone(&self, zone: &str) -> Result<(), CommandError> {
        self.delete(self.keys.zone_override(zone)).await
    }

    /// Sets the operator command for a role.
    pub async fn command_role(&self, role: &str, command: OperatorCommand) -> Result<(), CommandError> {
        check_role(role)?;
        self.put(self.keys.operator_command(role), encode_value(&command)).await
    }

    /// Removes the operator command for a role.
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

    /// Prints the owner of each role and the operator command for it.
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
