//! Admission by the firms' shares of the fleet's capacity.

use crate::metric::Metric;
use marblecroft_control_messages::published::{Acceptance, Decision, DecisionReader, Stamp};
use marblecroft_control_messages::report::Demand;
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_fair_share::limiter::{FirmQuota, ShareLimiter};
use marblecroft_quota_gateway_core::{NewRequest, Plan};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The retry-after of a request that exceeds its firm's share: about the interval at which shares are
/// recomputed.
pub const SHARE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// This gateway's part of the quota shares. All instants are relative to the start of the process.
pub struct QuotaShares {
    limiter: RefCell<ShareLimiter>,
    decisions: RefCell<DecisionReader<ShareDecision>>,
    /// The number of requests that were rejected because they exceeded their firm's share.
    rejected: Cell<u64>,
}

impl QuotaShares {
    /// Creates the shares of the gateway with this number, without a decision.
    pub fn new(gateway: u32) -> QuotaShares {
        QuotaShares {
            limiter: RefCell::new(ShareLimiter::new(gateway)),
            decisions: RefCell::default(),
            rejected: Cell::new(0),
        }
    }

    /// Returns whether the firm's share admits a request, and counts a rejection otherwise. `customer_share`
    /// is the part of the firm's requests that pass through this gateway, if it is metered.
    pub fn admit(
        &self,
        now: Duration,
        request: &NewRequest,
        plan: &Plan,
        customer_share: Option<f64>,
    ) -> bool {
        let equal_fraction = 1.0 / f64::from(request.gateways.max(1));
        let local_fraction = customer_share.unwrap_or(equal_fraction);
        // The weight is the price that the firm pays for its contracted rate. The weight of a plan without a
        // rate is its price alone.
        let contracted_rate = if plan.rate > 0.0 { plan.rate } else { 1.0 };
        let rate_limit =
            if plan.rate > 0.0 { plan.rate * local_fraction.max(equal_fraction) } else { f64::INFINITY };
        let quota =
            FirmQuota { weight: plan.price * contracted_rate, local_fraction, equal_fraction, rate_limit };
        let mut limiter = self.limiter.borrow_mut();
        let is_admitted = limiter.request(now, request.customer.0, quota, request.units, request.is_retry);
        if !is_admitted {
            self.rejected.set(self.rejected.get() + 1);
        }
        is_admitted
    }

    /// Charges a request that was sent against its firm's share.
    pub fn charge(&self, firm: u64, units: f64) {
        self.limiter.borrow_mut().charge(firm, units);
    }

    /// Installs a decision that was read; `queried_at` is an instant before the query was sent.
    pub fn install(&self, queried_at: Duration, decision: Decision<ShareDecision>) -> Acceptance {
        self.decisions.borrow_mut().accept(queried_at, decision)
    }

    /// Recomputes each firm's limit from the decision in force.
    pub fn apply(&self, now: Duration) {
        self.limiter.borrow_mut().apply_decision(now, &self.decisions.borrow());
    }

    /// Returns the demand to report, and the stamp of the decision in force.
    pub fn take_demand(&self, now: Duration) -> (Demand, Stamp) {
        let demand = self.limiter.borrow_mut().sample_demand(now);
        (demand, self.decisions.borrow().stamp().unwrap_or_default())
    }

    /// The counter of rejected requests.
    pub fn metric(&self) -> Metric {
        Metric {
            name: "marblecroft_share_refused",
            help: "Requests that their firm's share did not hold.",
            value: self.rejected.get() as f64,
        }
    }
}
