//! Checks the history of what was asked and answered. It shares no code with the program.
//!
//! Generations only rise, so the newest of two configurations is the one of the higher generation, and the configuration
//! must behave as one register: whoever asks after an acknowledgement sees that generation or a higher one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The routes of a configuration in their order: name and text.
pub type Routes = Vec<(String, String)>;

/// What an order changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// All routes.
    Replace(Routes),
    /// Adds a route, or replaces the one of its name.
    Upsert(String, String),
    /// Removes the route of this name, if it is there.
    Remove(String),
}

/// An order of an operator's.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    pub base: u64,
    pub generation: u64,
    /// As it is sent.
    pub body: String,
    pub is_update: bool,
    /// The routes that it may make: several where orders of one generation were sent that it may build on.
    possible_routes: Vec<Routes>,
    pub acknowledged_at: Option<Duration>,
    pub rejected: bool,
}

/// A batch job as its client sees it.
#[derive(Clone, Debug, Default)]
struct Job {
    tokens: Vec<u64>,
    accepted: bool,
    /// Whether an attempt had no final answer.
    outcome_unknown: bool,
    refused: bool,
    ended: bool,
    finished: BTreeSet<usize>,
    confirmed: BTreeSet<usize>,
    /// Texts that runs of each item have made.
    texts: BTreeMap<String, BTreeSet<String>>,
    results: Vec<(String, String)>,
}

/// The history, as far as checks need it.
#[derive(Default)]
pub struct Checker {
    violations: Vec<String>,
    changes: Vec<ConfigurationChange>,
    /// The highest generation that a reading has shown, and when its answer came.
    read: Vec<(Duration, u64)>,
    jobs: BTreeMap<String, Job>,
    lists: BTreeMap<usize, String>,
    gateways: BTreeMap<usize, u64>,
    pub counts: BTreeMap<&'static str, u64>,
}

/// A configuration as operators write it.
pub fn configuration(generation: u64, routes: &Routes) -> String {
    let routes: Vec<&str> = routes.iter().map(|route| route.1.as_str()).collect();
    format!(
        "{{\"generation\":{generation},\"routes\":[{}],\"services\":[{{\"name\":\"s\"}}],\"limits\":{{}}}}",
        routes.join(",")
    )
}

impl Change {
    /// The routes after this change.
    fn applied_to(&self, before: &Routes) -> Routes {
        let mut routes = before.clone();
        match self {
            Change::Replace(all) => routes = all.clone(),
            Change::Upsert(name, text) => match routes.iter_mut().find(|route| route.0 == *name) {
                Some(route) => route.1 = text.clone(),
                None => routes.push((name.clone(), text.clone())),
            },
            Change::Remove(name) => routes.retain(|route| route.0 != *name),
        }
        routes
    }

    /// What is sent.
    fn body(&self, generation: u64) -> String {
        match self {
            Change::Replace(routes) => configuration(generation, routes),
            Change::Upsert(_, text) => {
                format!("{{\"generation\":{generation},\"upsert\":{{\"routes\":[{text}]}}}}")
            }
            Change::Remove(name) => {
                format!("{{\"generation\":{generation},\"remove\":{{\"routes\":[\"{name}\"]}}}}")
            }
        }
    }
}

impl Checker {
    /// What is wrong.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    pub fn has_violation(&self) -> bool {
        !self.violations.is_empty()
    }

    pub fn report(&mut self, what: String) {
        self.violations.push(what);
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    pub fn count_of(&self, what: &str) -> u64 {
        self.counts.get(what).copied().unwrap_or(0)
    }

    /// An operator is about to send an order; its number.
    pub fn record_change(&mut self, base: u64, generation: u64, change: &Change) -> usize {
        let is_update = !matches!(change, Change::Replace(_));
        let makes = if is_update {
            self.possible_routes_on(base, change)
        } else {
            vec![change.applied_to(&Routes::new())]
        };
        let body = change.body(generation);
        self.changes.push(ConfigurationChange {
            base,
            generation,
            body,
            is_update,
            possible_routes: makes,
            acknowledged_at: None,
            rejected: false,
        });
        self.changes.len() - 1
    }

    /// What a change makes of the configurations that may have been in force under this generation.
    fn possible_routes_on(&self, base: u64, change: &Change) -> Vec<Routes> {
        let bases = self.changes.iter().filter(|order| order.generation == base && !order.rejected);
        let mut makes: Vec<Routes> =
            bases.flat_map(|order| &order.possible_routes).map(|before| change.applied_to(before)).collect();
        makes.sort();
        makes.dedup();
        makes
    }

    pub fn change(&self, number: usize) -> &ConfigurationChange {
        &self.changes[number]
    }

    pub fn acknowledged_changes(&self) -> Vec<usize> {
        (0..self.changes.len()).filter(|number| self.changes[*number].acknowledged_at.is_some()).collect()
    }

    /// The newest generation that was acknowledged by a time.
    pub fn newest_acknowledged(&self, by: Duration) -> u64 {
        let acknowledged = |order: &&ConfigurationChange| order.acknowledged_at.is_some_and(|at| at <= by);
        self.changes.iter().filter(acknowledged).map(|order| order.generation).max().unwrap_or(0)
    }

    pub fn on_change_reply(&mut self, now: Duration, number: usize, status: u16) {
        let before = self.changes[number].clone();
        match status {
            200 => {
                self.count("acknowledged");
                if before.rejected {
                    self.report(format!("acknowledged after a refusal: {before:?}"));
                }
                let clashes = |other: &ConfigurationChange| {
                    let same = other.generation == before.generation || other.base == before.base;
                    other.acknowledged_at.is_some() && same && other.body != before.body
                };
                if let Some(other) = self.changes.iter().find(|other| clashes(other)) {
                    self.report(format!("two are acknowledged: {before:?} and {other:?}"));
                }
                self.changes[number].acknowledged_at.get_or_insert(now);
            }
            400..=499 => {
                self.count("refused");
                if before.acknowledged_at.is_some() {
                    self.report(format!("refused with {status} after it was acknowledged: {before:?}"));
                }
                self.changes[number].rejected = true;
            }
            _ => self.count("unclear"),
        }
    }

    fn check_in_force(&mut self, body: &str, what: &str) -> Option<u64> {
        let makes = |order: &&ConfigurationChange| {
            order.possible_routes.iter().any(|routes| configuration(order.generation, routes) == body)
        };
        // Two changes may make the same.
        let making: Vec<&ConfigurationChange> = self.changes.iter().filter(makes).collect();
        let order = making.iter().find(|order| !order.rejected).or(making.first()).copied().cloned();
        match order {
            None => {
                self.report(format!("{what}: nobody has sent {body}"));
                None
            }
            Some(order) if order.rejected => {
                self.report(format!("{what}: in force though refused: {order:?}"));
                None
            }
            Some(order) => Some(order.generation),
        }
    }

    /// The configuration was read.
    pub fn read(&mut self, sent: Duration, now: Duration, body: &str) {
        self.count("read");
        let Some(generation) = self.check_in_force(body, "read") else { return };
        let newest = self.newest_acknowledged(sent);
        if generation < newest {
            self.report(format!("read {generation}, sent at {sent:?} when {newest} was acknowledged"));
        }
        let seen = self.read.iter().filter(|read| read.0 <= sent).map(|read| read.1).max().unwrap_or(0);
        if generation < seen {
            self.report(format!("read {generation} after {seen} was read"));
        }
        self.read.push((now, generation));
    }

    /// A gateway's question was answered by a coordinator in touch; it has this configuration now.
    pub fn pulled(&mut self, gateway: usize, sent: Duration, body: Option<&str>) {
        self.count("pulled");
        let generation = match body {
            Some(body) => self.check_in_force(body, "pulled").unwrap_or(u64::MAX),
            None => 0,
        };
        let newest = self.newest_acknowledged(sent);
        if generation < newest {
            self.report(format!("pulled {generation}, sent at {sent:?} when {newest} was acknowledged"));
        }
        let before = self.gateways.insert(gateway, generation).unwrap_or(0);
        if generation < before {
            self.report(format!("gateway {gateway} goes back from {before} to {generation}"));
        }
    }

    /// A gateway takes a list of servers that was read at this time.
    pub fn on_server_list(&mut self, gateway: usize, read_at: &str) {
        let before = self.lists.insert(gateway, read_at.to_owned()).unwrap_or_default();
        if *read_at < *before {
            self.report(format!("gateway {gateway} takes a list of {read_at} after one of {before}"));
        }
    }

    /// Tokens that wait at the least, or at the most as far as clients can tell.
    fn waiting(&self, at_most: bool) -> u64 {
        let counts = |job: &&Job| !job.ended && (job.accepted || (at_most && job.outcome_unknown));
        let tokens = |job: &Job| {
            let done = if at_most { &job.confirmed } else { &job.finished };
            let left = job.tokens.iter().enumerate().filter(|(item, _)| !done.contains(item));
            left.map(|(_, tokens)| tokens).sum::<u64>()
        };
        self.jobs.values().filter(counts).map(tokens).sum()
    }

    /// A job is sent; the most tokens that may wait beside it at this moment.
    pub fn on_job_sent(&mut self, job: &str, tokens: &[u64]) -> u64 {
        let known = self.jobs.entry(job.to_owned()).or_default();
        known.tokens = tokens.to_vec();
        let unclear = std::mem::replace(&mut known.outcome_unknown, false);
        let most = self.waiting(true);
        if let Some(known) = self.jobs.get_mut(job) {
            known.outcome_unknown = unclear;
        }
        most
    }

    pub fn on_job_accepted(&mut self, job: &str, quota: u64) {
        self.count("jobs accepted");
        if let Some(known) = self.jobs.get_mut(job) {
            known.accepted = true;
        }
        let waiting = self.waiting(false);
        if waiting > quota {
            self.report(format!("{waiting} tokens wait at the acceptance of {job}, {quota} may"));
        }
    }

    pub fn on_job_rejected(&mut self, job: &str, most_before: u64, quota: u64) {
        self.count("jobs refused");
        let Some(known) = self.jobs.get_mut(job) else { return };
        let tokens: u64 = known.tokens.iter().sum();
        let (accepted, unclear) = (known.accepted, known.outcome_unknown);
        known.refused = !unclear;
        if accepted {
            self.report(format!("job {job} was accepted, and is refused"));
        }
        if !unclear && most_before + tokens <= quota {
            self.report(format!("job {job} of {tokens} is refused beside {most_before} of {quota}"));
        }
    }

    pub fn job_unclear(&mut self, job: &str) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.outcome_unknown = true;
        }
    }

    /// An item is given to a gateway, which runs it and makes this text.
    pub fn item_run(&mut self, job: &str, item: usize, id: &str, text: &str) {
        self.count("items run");
        let Some(known) = self.jobs.get_mut(job) else {
            self.report(format!("an item of {job}, which nobody has sent"));
            return;
        };
        known.finished.insert(item);
        known.texts.entry(id.to_owned()).or_default().insert(text.to_owned());
        if known.refused && !known.accepted {
            self.report(format!("an item of {job} runs, which was refused"));
        }
    }

    /// The stores have said that a result is recorded.
    pub fn item_confirmed(&mut self, job: &str, item: usize) {
        if let Some(known) = self.jobs.get_mut(job) {
            known.confirmed.insert(item);
        }
    }

    pub fn on_results(&mut self, job: &str, start: usize, results: &[(String, String)]) {
        self.count("results read");
        let Some(known) = self.jobs.get_mut(job) else { return };
        let mut wrong = None;
        for (at, result) in results.iter().enumerate() {
            match known.results.get(start + at) {
                Some(before) if before != result => wrong = Some(format!("{before:?} became {result:?}")),
                Some(_) => {}
                None if start + at == known.results.len() => {
                    let twice = known.results.iter().any(|listed| listed.0 == result.0);
                    let made = known.texts.get(&result.0).is_some_and(|texts| texts.contains(&result.1));
                    if twice || !made {
                        wrong = Some(format!("{result:?} stands twice, or no run has made it"));
                    }
                    known.results.push(result.clone());
                }
                None => {}
            }
        }
        if let Some(wrong) = wrong {
            self.report(format!("job {job}: {wrong}"));
        }
    }

    pub fn on_job_not_found(&mut self, job: &str) {
        if self.jobs.get(job).is_some_and(|known| known.accepted) {
            self.report(format!("job {job} was accepted, and is not found"));
        }
    }

    /// The jobs that were accepted, and how many of their results were seen.
    pub fn accepted_jobs(&self) -> Vec<(String, usize)> {
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted);
        accepted.map(|(id, job)| (id.clone(), job.results.len())).collect()
    }
}
