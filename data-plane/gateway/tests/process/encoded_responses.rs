//! Requests ask for responses without an encoding. A body with one is not the server's, and must not become
//! the result of an item.

use crate::stand_ins::{
    completed, configuration, response, signed_headers, BatchRoute, Coordinator, Gateway, ModelServer,
    Stores, HOST,
};
use marblecroft_batch_state::ItemOutcome;
use std::sync::atomic::{AtomicBool, Ordering};

const ROUTE: BatchRoute = BatchRoute { prefix: "/screen/", attempts: 3, max_queued_tokens: 0 };

// The events of an encoded body were recorded as the output of an item.
#[test]
fn an_encoded_response_does_not_become_the_result_of_an_item() {
    let has_sent_encoded = AtomicBool::new(false);
    let server = ModelServer::start("server", move |request, _| {
        let id = request.header("x-request-id").unwrap_or_default();
        if has_sent_encoded.swap(true, Ordering::Relaxed) {
            return completed(id);
        }
        let headers = [&signed_headers(id)[..], &[("Content-Encoding", "gzip")]].concat();
        response(200, &headers, "id: 1\ndata: encoded\n\n")
    });
    let stores = Stores::start();
    let coordinator = Coordinator::start(stores.address(), vec![server.entry()]);
    coordinator.set_configuration(&configuration(1, &[ROUTE.json()]));
    let _gateway = Gateway::start(&coordinator);
    let item = stores.grant("job", HOST, "/screen/1");
    assert_eq!(stores.wait_for_outcome(&item), ItemOutcome::Completed("text".to_owned()));
}
