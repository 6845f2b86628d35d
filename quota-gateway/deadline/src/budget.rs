//! One request's time.

use marblecroft_quota_gateway_core::Time;
use std::time::Duration;

/// An answer is out this long before the client stops waiting: its way back, and what a busy core adds.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// An answer that the client takes nothing of is given up after this time, whatever is left: a slow reader whose answer
/// came in time is owed all of it, however long that takes, and one that has gone must not hold its connection for good.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The part of what is left that may go on one connection that does not come up, so that as much is left to try another
/// server in. Nothing ran where no connection came up, so a further attempt is harmless whatever the class.
const CONNECT_DIVISOR: u32 = 2;
/// What servers are told is a whole number of these.
const ADVERTISED_UNIT: Duration = Duration::from_millis(1);

/// What a request's time goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It lay with the system: its connection was not yet accepted, or the gateway was busy.
    Unread,
    /// Its head and body came. By the protocol the client's time begins with the last byte, so this takes none of it.
    Read,
    /// For a server: before the first attempt and between two.
    Waiting,
    /// A connection comes up.
    Connect,
    /// A server has it.
    Attempt,
    /// Its answer is taken by the client.
    Write,
}

impl Stage {
    pub const ALL: [Stage; 6] =
        [Stage::Unread, Stage::Read, Stage::Waiting, Stage::Connect, Stage::Attempt, Stage::Write];

    pub fn name(self) -> &'static str {
        match self {
            Stage::Unread => "unseen",
            Stage::Read => "read",
            Stage::Waiting => "waiting",
            Stage::Connect => "connect",
            Stage::Attempt => "attempt",
            Stage::Write => "write",
        }
    }
}

/// Where a request's time went. A stage that it never was in is told from one that took no time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTimes([Option<Duration>; Stage::ALL.len()]);

impl StageTimes {
    pub fn of(&self, stage: Stage) -> Duration {
        self.0[stage as usize].unwrap_or_default()
    }

    /// The stages that it was in.
    pub fn stages(&self) -> impl Iterator<Item = (Stage, Duration)> + '_ {
        Stage::ALL.into_iter().filter_map(|stage| Some((stage, self.0[stage as usize]?)))
    }

    /// What was taken of the client's time until the answer.
    pub fn charged(&self) -> Duration {
        [Stage::Unread, Stage::Waiting, Stage::Connect, Stage::Attempt]
            .map(|stage| self.of(stage))
            .iter()
            .sum()
    }

    fn add(&mut self, stage: Stage, took: Duration) {
        *self.0[stage as usize].get_or_insert_default() += took;
    }
}

fn between(earlier: Time, later: Time) -> Duration {
    Duration::from_nanos(later.0.saturating_sub(earlier.0))
}

/// What a client's time is left for. Begins when the request does and counts down from the request's last byte.
#[derive(Clone, Debug)]
pub struct Budget {
    client_timeout: Duration,
    /// When the last byte came, once it has.
    complete_at: Option<Time>,
    /// Nothing lasts beyond this: the process ends.
    process_ends_at: Option<Time>,
    stage: Stage,
    /// Until when `spent` is reckoned.
    accounted_until: Time,
    spent: StageTimes,
    /// Requests written to servers, in part at least.
    sends: u32,
    /// What the last of them was told.
    last_advertised: Option<Duration>,
    answered: bool,
}

impl Budget {
    /// A request begins to come, whose client will wait for so long from its last byte.
    pub fn new(client_timeout: Duration, now: Time) -> Budget {
        Budget {
            client_timeout,
            complete_at: None,
            process_ends_at: None,
            stage: Stage::Read,
            accounted_until: now,
            spent: StageTimes::default(),
            sends: 0,
            last_advertised: None,
            answered: false,
        }
    }

    /// Its last byte is read, and came so long ago: the client's time counts from then. Of a body that is passed on as it
    /// comes, the last byte is with the server.
    pub fn on_complete(&mut self, now: Time, ago: Duration) {
        if self.complete_at.is_some() {
            return;
        }
        self.account(now);
        // What was told to have come before the first byte was looked for lay with the system all the same.
        let read = &mut self.spent.0[Stage::Read as usize];
        *read = read.map(|read| read.saturating_sub(ago));
        if !ago.is_zero() {
            self.spent.add(Stage::Unread, ago);
        }
        self.complete_at =
            Some(Time(now.0.saturating_sub(u64::try_from(ago.as_nanos()).unwrap_or(u64::MAX))));
        if self.stage == Stage::Read {
            self.stage = Stage::Waiting;
        }
    }

    /// The process ends then, and nothing lasts longer. What was shorter stays so.
    pub fn end_by(&mut self, by: Time) {
        self.process_ends_at = Some(self.process_ends_at.map_or(by, |cut| cut.min(by)));
    }

    /// When the answer must be out; not known while the request is still coming, unless the process ends.
    pub fn deadline(&self) -> Option<Time> {
        let full =
            self.complete_at.map(|since| since.after(self.client_timeout.saturating_sub(RESPONSE_MARGIN)));
        full.into_iter().chain(self.process_ends_at).min()
    }

    /// When it would have to be out if the last byte came now.
    pub fn latest_deadline(&self, now: Time) -> Time {
        self.deadline().unwrap_or_else(|| now.after(self.client_timeout.saturating_sub(RESPONSE_MARGIN)))
    }

    /// What is left; not known while the request is still coming, unless the process ends.
    pub fn remaining(&self, now: Time) -> Option<Duration> {
        self.deadline().map(|ends| between(now, ends))
    }

    /// How long a wait of at most this may last.
    pub fn limit_wait(&self, now: Time, most: Duration) -> Duration {
        self.remaining(now).map_or(most, |left| left.min(most))
    }

    /// A connection comes up from now on; how long it may take, of at most this.
    pub fn connecting(&mut self, now: Time, most: Duration) -> Duration {
        self.enter(now, Stage::Connect);
        self.remaining(now).map_or(most, |left| most.min(left / CONNECT_DIVISOR))
    }

    /// It is about to be written to a server that is given up at `until` and whose answer takes `back` for its way: what
    /// the server is told to have, which never is more than the one before was told. `None` when it must not be sent:
    /// nothing is left, or its answer is out.
    pub fn sending(&mut self, now: Time, until: Time, back: Duration) -> Option<Duration> {
        if self.answered {
            return None;
        }
        let rest = between(now, until).min(self.client_timeout.saturating_sub(RESPONSE_MARGIN));
        let rest = self
            .limit_wait(now, rest)
            .saturating_sub(back)
            .min(self.last_advertised.unwrap_or(Duration::MAX));
        let whole = rest - Duration::from_nanos((rest.as_nanos() % ADVERTISED_UNIT.as_nanos()) as u64);
        if whole.is_zero() {
            return None;
        }
        self.enter(now, Stage::Attempt);
        self.sends += 1;
        self.last_advertised = Some(whole);
        Some(whole)
    }

    /// Nothing was written of the last send.
    pub fn unsent(&mut self, now: Time) {
        self.enter(now, Stage::Waiting);
        self.sends = self.sends.saturating_sub(1);
    }

    /// It waits for its next attempt.
    pub fn waiting(&mut self, now: Time) {
        self.enter(now, Stage::Waiting);
    }

    /// Its answer is decided; whether that is the first, which alone stands.
    pub fn answered(&mut self, now: Time) -> bool {
        self.enter(now, Stage::Write);
        !std::mem::replace(&mut self.answered, true)
    }

    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Whether anything was written to a server.
    pub fn was_sent(&self) -> bool {
        self.sends > 0
    }

    /// What its client told.
    pub fn client_timeout(&self) -> Duration {
        self.client_timeout
    }

    /// Where its time has gone until now.
    pub fn spent(&self, now: Time) -> StageTimes {
        let mut sofar = self.clone();
        sofar.account(now);
        sofar.spent
    }

    /// What goes on once its answer is out is no longer its affair.
    fn enter(&mut self, now: Time, stage: Stage) {
        if !self.answered {
            self.account(now);
            self.stage = stage;
        }
    }

    /// Puts the time since the last reckoning down to the stage that it is in. While the client is still sending it is
    /// the client's, whatever goes on beside.
    fn account(&mut self, now: Time) {
        let stage = if self.complete_at.is_none() && !self.answered { Stage::Read } else { self.stage };
        self.spent.add(stage, between(self.accounted_until, now));
        self.accounted_until = self.accounted_until.max(now);
    }
}
