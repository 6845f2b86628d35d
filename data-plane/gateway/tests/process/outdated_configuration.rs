//! A gateway whose configuration is older than that of others, because it was suspended or disconnected,
//! must not decide by it what cannot be revised.

use crate::stand_ins::{
    completed, configuration, response, signed_headers, wait_for, BatchRoute, Coordinator, Gateway,
    ModelServer, Response, Stores, HOST,
};
use marblecroft_batch_state::ItemOutcome;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

const OLD_ROUTE: BatchRoute = BatchRoute { prefix: "/old/", attempts: 1, max_queued_tokens: 1000 };
const NEW_ROUTE: BatchRoute = BatchRoute { prefix: "/new/", ..OLD_ROUTE };

fn batch_configuration(generation: u64, routes: &[BatchRoute]) -> String {
    let routes: Vec<String> = routes.iter().map(BatchRoute::json).collect();
    configuration(generation, &routes)
}

struct Fleet {
    coordinator: Coordinator,
    stores: Stores,
    gateway: Gateway,
}

impl Fleet {
    /// Starts a gateway with a batch route `/old/` that allows one failure.
    fn start(server: &ModelServer) -> Fleet {
        let stores = Stores::start();
        let coordinator = Coordinator::start(stores.address(), vec![server.entry()]);
        coordinator.set_configuration(&batch_configuration(1, &[OLD_ROUTE]));
        let gateway = Gateway::start(&coordinator);
        Fleet { coordinator, stores, gateway }
    }

    /// Leaves the gateway with the configuration that it has.
    fn disconnect(&self) {
        let failed = self.coordinator.failed_pulls();
        self.coordinator.disconnect();
        wait_for("a failed pull", || (self.coordinator.failed_pulls() > failed).then_some(()));
    }
}

fn completing_server() -> ModelServer {
    ModelServer::start("server", |request, _| completed(request.header("x-request-id").unwrap_or_default()))
}

// A gateway that thawed dead-lettered the items of a route that was added while it was frozen.
#[test]
fn an_item_of_a_route_that_the_gateway_does_not_know_yet_is_not_dead_lettered() {
    let fleet = Fleet::start(&completing_server());
    fleet.disconnect();
    let item = fleet.stores.grant("job", HOST, "/new/1");
    fleet.stores.wait_until_started(&item);
    fleet.coordinator.set_configuration(&batch_configuration(2, &[OLD_ROUTE, NEW_ROUTE]));
    fleet.coordinator.reconnect();
    assert_eq!(fleet.stores.wait_for_outcome(&item), ItemOutcome::Completed("text".to_owned()));
}

// The same cause: the limit of failures that the gateway knows is lower than the one in force.
#[test]
fn an_item_is_not_dead_lettered_by_an_outdated_limit_of_failures() {
    let requests = Arc::new(AtomicU32::new(0));
    let received = requests.clone();
    let server = ModelServer::start("server", move |request, _| {
        let id = request.header("x-request-id").unwrap_or_default();
        if received.fetch_add(1, Ordering::Relaxed) == 0 {
            return response(500, &signed_headers(id), "failed");
        }
        completed(id)
    });
    let fleet = Fleet::start(&server);
    fleet.disconnect();
    let item = fleet.stores.grant("job", HOST, "/old/1");
    wait_for("the failure", || (requests.load(Ordering::Relaxed) > 0).then_some(()));
    fleet.stores.wait_until_started(&item);
    fleet.coordinator.set_configuration(&batch_configuration(2, &[BatchRoute { attempts: 2, ..OLD_ROUTE }]));
    fleet.coordinator.reconnect();
    assert_eq!(fleet.stores.wait_for_outcome(&item), ItemOutcome::Completed("text".to_owned()));
}

// An item whose route was removed must get a result, or its job never ends.
#[test]
fn an_item_of_a_removed_route_is_dead_lettered_by_a_gateway_in_contact() {
    let fleet = Fleet::start(&completing_server());
    let item = fleet.stores.grant("job", HOST, "/removed/1");
    assert_eq!(fleet.stores.wait_for_outcome(&item), ItemOutcome::DeadLettered);
}

// A gateway that stays disconnected must not keep an item that others can run.
#[test]
fn an_item_that_a_disconnected_gateway_cannot_judge_goes_back_to_the_stores() {
    let fleet = Fleet::start(&completing_server());
    fleet.disconnect();
    let item = fleet.stores.grant("job", HOST, "/new/1");
    let report = fleet.stores.wait_until_returned(&item);
    assert_eq!(fleet.stores.outcome(&item), None);
    assert_eq!(report.capacity, 0, "the report that releases the item must not request it again");
}

/// Sends a job with one item.
fn submit(fleet: &Fleet, prefix: &str) -> Response {
    let path = format!("{prefix}job");
    let body = format!(r#"{{"requests":[{{"id":"item","path":"{path}","body":"","tokens":10}}]}}"#);
    let headers = [("Host", HOST), ("X-Request-Id", "job")];
    fleet.gateway.post(&path, &headers, &body).expect("a response")
}

/// Disconnects the gateway and waits until its configuration is older than `bounds.config_apply_ms`. Returns
/// the first response on an unknown route that is not 404.
fn disconnect_until_outdated(fleet: &Fleet) -> Response {
    fleet.disconnect();
    wait_for("an outdated configuration", || {
        let response = submit(fleet, "/new/");
        (response.status() != 404).then_some(response)
    })
}

// 404 is final for a client, so a gateway that may not know the newest routes must not send it.
#[test]
fn a_request_on_an_unknown_route_is_rejected_with_404_only_by_a_gateway_in_contact() {
    let fleet = Fleet::start(&completing_server());
    assert_eq!(submit(&fleet, "/new/").status(), 404);
    let rejected = disconnect_until_outdated(&fleet);
    assert_eq!((rejected.status(), rejected.header("retry-after").is_some()), (503, true));
    fleet.coordinator.reconnect();
    wait_for("a new confirmation", || (submit(&fleet, "/new/").status() == 404).then_some(()));
}

// A gateway that thawed accepted a job under the quota of the configuration that it had before.
#[test]
fn a_job_is_not_accepted_under_an_outdated_quota_by_a_gateway_that_is_back_in_contact() {
    let fleet = Fleet::start(&completing_server());
    disconnect_until_outdated(&fleet);
    let lower = BatchRoute { max_queued_tokens: 100, ..OLD_ROUTE };
    fleet.coordinator.set_configuration(&batch_configuration(2, &[lower]));
    fleet.coordinator.reconnect();
    assert_eq!(submit(&fleet, "/old/").status(), 202);
    let quotas: Vec<u64> = fleet.stores.jobs().iter().map(|job| job.max_queued_tokens).collect();
    assert_eq!(quotas, [100]);
}

// Batch jobs must not depend on the coordinators.
#[test]
fn a_disconnected_gateway_accepts_jobs_on_the_routes_that_it_knows() {
    let fleet = Fleet::start(&completing_server());
    disconnect_until_outdated(&fleet);
    assert_eq!(submit(&fleet, "/old/").status(), 202);
}
