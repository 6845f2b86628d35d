//! Reports to the coordinators, whose replies contain the stores' view and the store to fetch the state from.

use super::context::Context;
use super::operations::CallPurpose;
use super::settings::Settings;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, StoreDirective, StoreReport};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between the reply to a report and the next report. The coordinators consider a store failed after
/// 900 ms without a report; a lost report is followed by another one after 700 ms (this and
/// [`REPORT_TIMEOUT`]).
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Destination and schedule of this store's reports.
pub(super) struct CoordinatorReporting {
    /// Known addresses of coordinators; addresses are added and never removed.
    coordinators: Vec<SocketAddr>,
    /// Index, modulo the number of addresses, of the coordinator to report to next if no head is known.
    next_coordinator: usize,
    head: Option<SocketAddr>,
    in_flight: bool,
    next_report_at: Duration,
}

impl CoordinatorReporting {
    pub(super) fn new(coordinators: Vec<SocketAddr>, now: Duration) -> CoordinatorReporting {
        CoordinatorReporting {
            coordinators,
            next_coordinator: 0,
            head: None,
            in_flight: false,
            next_report_at: now,
        }
    }

    /// Sends a report if one is due: to the head of the coordinators, or to the next one if no head is known.
    pub(super) fn send_if_due<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        settings: &Settings,
        now: Duration,
    ) {
        if self.in_flight || now < self.next_report_at || self.coordinators.is_empty() {
            return;
        }
        let next = self.coordinators[self.next_coordinator % self.coordinators.len()];
        let to = self.head.unwrap_or(next);
        self.in_flight = true;
        let report = StoreReport {
            node_name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            address: settings.address,
            status: ctx.chain().status(now),
        };
        let request = CoordinatorRequest::Report(report);
        ctx.call_coordinator(to, request, REPORT_TIMEOUT, CallPurpose::Report { to });
    }

    /// Handles the reply of the coordinator at `to`; returns its directive if it is the head.
    pub(super) fn handle_reply(
        &mut self,
        now: Duration,
        to: SocketAddr,
        reply: Option<CoordinatorReply>,
    ) -> Option<StoreDirective> {
        self.in_flight = false;
        self.next_report_at = now + REPORT_INTERVAL;
        match reply {
            Some(CoordinatorReply::Stores(directive)) => {
                self.head = Some(to);
                for coordinator in &directive.coordinators {
                    if !self.coordinators.contains(coordinator) {
                        self.coordinators.push(*coordinator);
                    }
                }
                Some(directive)
            }
            Some(CoordinatorReply::NotHead(head)) => {
                self.head = head.filter(|head| *head != to);
                self.next_coordinator += 1;
                None
            }
            _ => {
                self.head = None;
                self.next_coordinator += 1;
                None
            }
        }
    }

    pub(super) fn next_wake(&self) -> Duration {
        if self.in_flight {
            Duration::MAX
        } else {
            self.next_report_at
        }
    }
}
