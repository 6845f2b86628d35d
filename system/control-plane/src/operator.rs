//! The operator's API.

use crate::coordinator::Coordinator;
use marblecroft_chain::Refused;
use marblecroft_configuration::Configuration;
use marblecroft_control_state::{Operation, Output};
use marblecroft_wire::http::{Reply, Request};
use marblecroft_wire::Bytes;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;
use tiny_http::Method;
use tracing::info;

/// The operator gives up a call after a second; a change that takes longer is found again when it is sent again.
const CHANGE_TIME: Duration = Duration::from_millis(2500);
const READ_TIME: Duration = Duration::from_millis(900);
/// A redirect to a head that has not been heard of for so long leads nowhere.
const HEAD_HEARD: Duration = Duration::from_millis(1500);

const REPLACE: &str = "/-/Config.Replace";
const READ: &str = "/-/Config.Read";
const RETIRE_START: &str = "/-/Retire.Start/";
const RETIRE_READ: &str = "/-/Retire.Read/";

/// Answers one call.
pub fn answer(coordinator: &Coordinator, request: &Request) -> Reply {
    let path = request.url.split('?').next().unwrap_or_default();
    let known = [REPLACE, READ].contains(&path)
        || [RETIRE_START, RETIRE_READ].iter().any(|prefix| path.starts_with(prefix));
    if !known {
        return Reply::text(404, "no such call");
    }
    if !coordinator.chain.is_head() {
        return redirect(coordinator, &request.url);
    }
    if let Some(node) = path.strip_prefix(RETIRE_START) {
        return if request.method == Method::Post { retire(coordinator, node) } else { wrong_method() };
    }
    if let Some(node) = path.strip_prefix(RETIRE_READ) {
        return retired(coordinator, node);
    }
    match (path, &request.method) {
        (REPLACE, Method::Post) => replace(coordinator, request),
        (READ, Method::Get) => read(coordinator),
        _ => wrong_method(),
    }
}

fn wrong_method() -> Reply {
    Reply::text(405, "not with this method")
}

fn unavailable(why: &str) -> Reply {
    Reply::text(503, why)
}

/// Sends the caller to the head.
fn redirect(coordinator: &Coordinator, url: &str) -> Reply {
    let heard = coordinator.chain.heard_age().is_some_and(|age| age < HEAD_HEARD);
    let port = coordinator.settings.bind.control_plane.map(|own| own.port());
    match (coordinator.chain.head_address(), port) {
        (Some(head), Some(port)) if heard && head != coordinator.address => {
            let to = SocketAddr::new(head.ip(), port);
            Reply::status(307).with("Location", format!("http://{to}{url}"))
        }
        _ => unavailable("no head is known at the moment"),
    }
}

fn refused(coordinator: &Coordinator, url: &str, refused: &Refused) -> Reply {
    match refused {
        Refused::NotHead(_) => redirect(coordinator, url),
        Refused::TooFew => unavailable("too few coordinators are in touch"),
        Refused::Unknown => Reply::text(504, "the outcome is not known; send it again"),
    }
}

fn replace(coordinator: &Coordinator, request: &Request) -> Reply {
    let base = match request.header("X-Base-Version").map(|value| value.trim().parse::<u64>()) {
        Some(Ok(base)) => base,
        Some(Err(_)) => return Reply::text(400, "X-Base-Version: expected a whole number"),
        None => return Reply::text(400, "X-Base-Version is missing"),
    };
    let generation = match Configuration::parse(&request.body) {
        Ok(configuration) => configuration.generation,
        Err(e) => {
            info!("a configuration was refused: {e}");
            return Reply::text(400, &e.to_string());
        }
    };
    let operation = Operation::Replace { base, generation, body: Bytes(request.body.clone()) };
    match coordinator.chain.submit(operation, CHANGE_TIME) {
        Ok(Output::Taken) => {
            info!("configuration {generation} is in force");
            Reply::status(200)
        }
        Ok(Output::Conflict(current)) => Reply::text(412, &format!("version {current} is current")),
        Ok(Output::NotHigher(current)) => {
            Reply::text(400, &format!("generation {generation} is not higher than {current}"))
        }
        Ok(Output::Done | Output::Ignored | Output::Token(_)) => Reply::status(500),
        Err(e) => refused(coordinator, &request.url, &e),
    }
}

fn read(coordinator: &Coordinator) -> Reply {
    let body = coordinator.chain.read(|control| control.body().map(<[u8]>::to_vec), READ_TIME);
    match body {
        Ok(Some(body)) => Reply::bytes(200, body).with("Content-Type", "application/json".to_owned()),
        Ok(None) => Reply::text(404, "there is no configuration yet"),
        Err(e) => refused(coordinator, READ, &e),
    }
}

fn retire(coordinator: &Coordinator, node: &str) -> Reply {
    let (known, usable) = {
        let views = coordinator.store_views.lock().unwrap_or_else(PoisonError::into_inner);
        let retired = |node: &str| {
            let node = node.to_owned();
            coordinator.chain.read_settled(move |control| control.is_retired(&node)).unwrap_or(false)
        };
        (views.knows(node), views.usable(|other| other == node || retired(other)))
    };
    let name = node.to_owned();
    match coordinator.chain.read(move |control| control.is_retired(&name), READ_TIME) {
        Ok(true) => return Reply::status(200),
        Ok(false) => {}
        Err(e) => return refused(coordinator, &format!("{RETIRE_START}{node}"), &e),
    }
    if !known {
        return Reply::text(404, "no store machine of this name is known");
    }
    if usable < coordinator.settings.tolerated_machines + 1 {
        return Reply::text(409, "too few stores would remain");
    }
    match coordinator.chain.submit(Operation::Retire { node: node.to_owned() }, CHANGE_TIME) {
        Ok(_) => Reply::status(200),
        Err(e) => refused(coordinator, &format!("{RETIRE_START}{node}"), &e),
    }
}

fn retired(coordinator: &Coordinator, node: &str) -> Reply {
    let name = node.to_owned();
    let state = coordinator
        .chain
        .read(move |control| (control.is_retired(&name), control.store_view().clone()), READ_TIME);
    let (retired, view) = match state {
        Ok(state) => state,
        Err(e) => return refused(coordinator, &format!("{RETIRE_READ}{node}"), &e),
    };
    if !retired {
        return Reply::text(404, "this machine is not being emptied");
    }
    let gone = view.members.iter().all(|member| member.node != node);
    let copies = coordinator.settings.tolerated_machines + 1;
    let whole = {
        let views = coordinator.store_views.lock().unwrap_or_else(PoisonError::into_inner);
        views.whole(&view)
    };
    let state = if gone && whole && view.members.len() >= copies { "completed" } else { "in_progress" };
    Reply::json(200, format!("{{\"state\":\"{state}\"}}"))
}
