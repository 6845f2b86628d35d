//! Periodic tasks: apply updates of the configuration and the server list to admission and
//! placement, assess the load, close idle connections, and log the attempts at model servers.

use crate::gateway::Gateway;
use marblecroft_configuration::{Configuration, Route, RouteType};
use marblecroft_routing::admission::{RouteClass, ASSESSMENT_INTERVAL};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval between two sweeps of idle connections, and the maximum time between two checks for
/// updates.
const SWEEP_INTERVAL: Duration = Duration::from_millis(300);
/// Assumed time until a change of the admitted fraction shows in the servers' load.
const ADMISSION_LAG: Duration = Duration::from_millis(300);
/// Interval between two log lines with the counts of attempts.
const ATTEMPTS_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Applies new configurations to admission and new server lists to the balancer.
pub async fn apply_updates(gateway: Rc<Gateway>) {
    let (mut configuration_version, mut servers_version) = (0, None);
    loop {
        // Must precede the snapshot, so that no change between the two is missed.
        let changed = gateway.state.changed.notified();
        let snapshot = gateway.state.snapshot();
        let versions = snapshot.versions;
        if let Some(configuration) =
            snapshot.configuration.filter(|_| versions.configuration_sequence != configuration_version)
        {
            configuration_version = versions.configuration_sequence;
            gateway.admission.borrow_mut().configure(route_classes(&configuration));
        }
        if servers_version != Some(versions.server_list_version) {
            servers_version = Some(versions.server_list_version);
            gateway.balancer.borrow_mut().update(&snapshot.servers);
        }
        // Checks for updates again after the interval, even without a notification.
        let _ = timeout(SWEEP_INTERVAL, changed).await;
    }
}

/// Returns the classes of all routes, sorted by route name.
fn route_classes(configuration: &Configuration) -> Vec<RouteClass> {
    let mut classes: Vec<RouteClass> = configuration.routes().map(|route| route_class(route)).collect();
    classes.sort_by(|a, b| a.route.cmp(&b.route));
    classes
}

/// Within a priority, routes with a short latency target have the highest value and batch routes
/// the lowest.
fn route_class(route: &Route) -> RouteClass {
    let value = if route.route_type == RouteType::Batch {
        0.0
    } else {
        1.0 / route.target_latency.as_secs_f64().max(1e-3)
    };
    RouteClass { route: route.name.clone(), priority: route.priority, value }
}

/// Assesses the load for admission, based on the most loaded service.
pub async fn assess_load(gateway: Rc<Gateway>) {
    loop {
        sleep(ASSESSMENT_INTERVAL).await;
        let Some(configuration) = gateway.state.snapshot().configuration else { continue };
        let now = gateway.now();
        let occupancy = {
            let balancer = gateway.balancer.borrow();
            configuration
                .services()
                .filter_map(|service| balancer.occupancy(&service.name, now))
                .reduce(f64::max)
        };
        let is_idle = gateway.in_flight.get() == 0;
        gateway.admission.borrow_mut().assess(now, occupancy, ADMISSION_LAG, is_idle);
    }
}

/// Closes connections that have been idle for too long.
pub async fn close_idle_connections(gateway: Rc<Gateway>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        gateway.pool.close_expired();
    }
}

/// Logs how attempts at model servers have ended.
pub async fn log_attempts(gateway: Rc<Gateway>) {
    loop {
        sleep(ATTEMPTS_LOG_INTERVAL).await;
        gateway.attempts.log_changes();
    }
}
