//! Which servers there are, and which one a request goes to.

use super::*;

/// Weight of failures in the choice (ours: a server that fails is the last resort). By server and class, as
/// one class may fail where the others are served and their answers clear nothing; by zone for connections.
const FAILURE_COST_WEIGHT: f64 = 40.0;
/// Weights in the choice of server: of the price of crossing zones, of a second try there, of chance, of one
/// that is not preferred (ours: two of the others would be busy), of a cold one that is due its part (ours).
const CHOICE: (f64, f64, f64, f64, f64) = (4.0, 10.0, 0.1, 3.0, 0.5);
/// Servers that a gateway prefers: so many, so that it knows them and its connections to them stay in use, or
/// more where the gateways are few, so that so many of them share each server (ours).
const SUBSET_SIZES: (f64, f64) = (9.0, 4.0);
/// Attempts a server may always have out from all gateways (ours); beyond, its answer rate bounds them ...
const MIN_IN_FLIGHT_PER_SERVER: f64 = 3.0;
/// ... and from this gateway alone (ours: its equal part would be one at each server, which a gateway with
/// more than its part of the traffic has out by chance; the bound on the sum of all holds as before).
const MIN_IN_FLIGHT_FROM_HERE: f64 = 2.0;
/// ... at what it answers in this share of the mean aim, twice for dear classes (ours: Little's law), ...
/// ... and all servers together at what they answer in the second, as one may be busier than the rest.
const OUT_AIM: (f64, f64) = (0.08, 0.12);
/// All attempts out against these bounds together, inside the quota (ours: service is uneven) and beyond it
/// (ours: only where there is room to spare).
const OUT_SUM: (f64, f64) = (1.5, 0.5);
/// Weight of a pick in the average of attempts out (ours: a burst of two by chance is no jam).
const IN_FLIGHT_WEIGHT: f64 = 0.5;

impl Gateway {
    /// Follows the list. Drains are kept at once: a server is picked only while listed as running.
    pub(super) fn on_server_list(&mut self, scope: Scope, list: Vec<ServerInfo>) {
        match scope {
            Scope::Failed => self.subscribe_due = self.settings.discovery == Discovery::Subscribe,
            Scope::Full => self.servers.values_mut().for_each(|s| s.info.lifecycle = Lifecycle::Gone),
            Scope::Delta => {}
        }
        for mut info in list {
            info.capacity = if sanitize(info.capacity) > 0.0 { sanitize(info.capacity) } else { 1.0 };
            let restarted = self.servers.get(&info.id).is_some_and(|s| s.info.started != info.started);
            let now = self.now;
            // A part of a first send by chance: hundreds of gateways send a cold server its part together.
            let part = self.random.uniform();
            let fresh = |info: ServerInfo| Server { cold_tokens: part, ..Server::new(info, now) };
            let server = self.servers.entry(info.id).or_insert_with(|| fresh(info.clone()));
            if restarted {
                let (out, elsewhere, owed) =
                    (std::mem::take(&mut server.in_flight), server.elsewhere, server.owed);
                *server = Server { in_flight: out, elsewhere, owed, ..fresh(info) };
            } else {
                server.info = info;
            }
        }
        self.choose_subset();
    }

    /// Chooses the servers that this gateway prefers (deterministic subsetting), of each zone its part.
    pub(super) fn choose_subset(&mut self) {
        let mut zones: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        self.usable_servers().for_each(|s| zones.entry(s.info.zone).or_default().push(s.info.id.0));
        let (gateways, count) = (self.settings.gateways, self.usable_servers().count() as f64);
        let part = (SUBSET_SIZES.1 / f64::from(gateways)).max(SUBSET_SIZES.0 / count.max(1.0)).min(1.0);
        self.servers.values_mut().for_each(|s| s.near = false);
        for mut zone in zones.into_values() {
            let own = (part * zone.len() as f64).ceil() as usize;
            for &id in subset(&mut zone, self.settings.gateway_index, gateways, own) {
                self.servers.entry(ServerId(id)).and_modify(|s| s.near = true);
            }
        }
    }

    /// Puts a server back. What was learnt of it is of another life: it counts as cold until the list has had
    /// time to tell of a restart, and gets the next request that it may take: nothing else tells how it is.
    pub(super) fn enable_server(&mut self, id: ServerId) {
        let (Some(since), now) = (self.disabled.remove(&id), self.now) else { return };
        if let Some(server) = self.servers.get_mut(&id) {
            let (out, info) = (std::mem::take(&mut server.in_flight), server.info.clone());
            let back = info.started.is_none_or(|started| started < since).then_some(now);
            let (elsewhere, cold_tokens) = (server.elsewhere, self.random.uniform());
            *server =
                Server { in_flight: out, elsewhere, back, owed: true, cold_tokens, ..Server::new(info, now) };
        }
        self.choose_subset();
    }

    pub(super) fn usable_servers(&self) -> impl Iterator<Item = &Server> {
        let listed = self.servers.values().filter(|s| s.info.lifecycle == Lifecycle::Running);
        listed.filter(|s| !self.disabled.contains_key(&s.info.id))
    }

    /// When nothing more of a request may begin, as its servers drop a repeat only until then.
    pub(super) fn deduplication_window_end(&self, r: &Request) -> Option<Time> {
        let Effect::Keyed { window, .. } = self.settings.classes[r.class].effect else { return None };
        Some(r.first_possibly_executed()?.sent.after(window.saturating_sub(self.settings.tick)))
    }

    /// The servers that a repeat is bound to; `None` when the class allows no further attempt.
    pub(super) fn retry_constraint(&self, request: &Request) -> Option<impl Fn(&ServerInfo) -> bool + use<>> {
        let group = match (self.settings.classes[request.class].effect, request.first_possibly_executed()) {
            (_, None) | (Effect::Safe, _) => None,
            (Effect::Keyed { group, .. }, Some(first))
                if self.deduplication_window_end(request)? > self.now =>
            {
                self.servers.get(&first.server).map(|s| (group, s.info.zone, s.info.cell))
            }
            (_, Some(_)) => return None,
        };
        let place = request.placement;
        Some(move |s: &ServerInfo| match (place, group) {
            (Placement::Cell(cell), _) if s.cell != cell => false,
            (_, Some((DeduplicationScope::Zone, zone, _))) => s.zone == zone,
            (_, Some((DeduplicationScope::Cell, _, cell))) => s.cell == cell,
            _ => true,
        })
    }

    /// Attempts that a server may have out from here, for an answer a second and for its size; `None` when
    /// all attempts out leave no room. Many gateways with one attempt each at every server are a jam too, so
    /// their sum is bounded by all answers together, not by the larger of two bounds at each server.
    pub(super) fn in_flight_limits(&mut self, request: &Request, mean_size: f64) -> Option<(f64, f64)> {
        let classes = &self.settings.classes;
        let aim = classes.iter().map(|c| c.latency_target.as_secs_f64()).sum::<f64>() / classes.len() as f64;
        let aim = aim * (1.0 + sanitize(classes[request.class].value) / self.highest_value());
        let least = MIN_IN_FLIGHT_PER_SERVER / f64::from(self.settings.gateways);
        let (mut out, mut rate, mut size) = (0.0, 0.0, 0.0);
        for s in self.usable_servers() {
            // What is lost is no work, and would keep room at the others for as long as its deadline is away.
            let here =
                s.in_flight.iter().filter(|o| !o.body_in_transit && !o.is_lost(self.now, LOST.1)).count();
            out += here as f64 + f64::from(s.elsewhere);
            rate += s.answers.get(self.now);
            size += s.relative_capacity(mean_size);
        }
        self.mean_in_flight = ewma(self.mean_in_flight, out, IN_FLIGHT_WEIGHT);
        let part = if request.within_quota { OUT_SUM.0 } else { OUT_SUM.1 };
        (self.mean_in_flight < part * (OUT_AIM.1 * aim * rate).max(least * size))
            .then_some((OUT_AIM.0 * aim, least))
    }

    /// The server for a request's next attempt, if any may take it; a first one by the shares decided on.
    pub(super) fn choose_server(&mut self, request: &Request) -> Option<ServerId> {
        if self.zone_lanes.is_empty()
            || !request.attempts.is_empty()
            || matches!(request.placement, Placement::Cell(_))
        {
            return self.choose_server_in(request, None);
        }
        let mut turns = self.zone_lanes.turns(self.now).into_iter();
        let found = turns.find_map(|zone| Some((zone, self.choose_server_in(request, Some(zone))?)));
        found.inspect(|(zone, _)| self.zone_lanes.on_sent(*zone)).map(|(_, server)| server)
    }

    pub(super) fn choose_server_in(&mut self, request: &Request, lane: Option<u32>) -> Option<ServerId> {
        let now = self.now;
        let fits = self.retry_constraint(request)?;
        let (count, total) =
            self.usable_servers().fold((0.0, 0.0), |(n, sum), s| (n + 1.0, sum + s.info.capacity));
        let mean_size = total / f64::max(count, 1.0);
        let (horizon, least) = self.in_flight_limits(request, mean_size)?;
        let typical = self.mean_latency[request.class].max(1e-6);
        let life = now.since(self.started_at.unwrap_or(now)).clamp(1.0, RATE_TIME_CONSTANT_SECS);
        // What a warm one is sent when each gets its part; a mean over all would sink with the cold ones.
        let warm: f64 = self
            .usable_servers()
            .filter(|s| s.near)
            .map(|s| s.relative_capacity(mean_size) * s.warm_share(now, &self.settings))
            .sum();
        // Before cold ones alone what is asked tells it too: of nothing sent they would wait for ever.
        let all_cold = self.usable_servers().all(|s| s.warm_share(now, &self.settings) < 1.0);
        let asked: f64 = self.shedder.priorities.iter().filter(|_| all_cold).map(|p| p.demand).sum();
        let warm_rate = f64::max(self.recent_sends / life, asked) / f64::max(warm, 0.1);
        let noise: Vec<f64> = (0..self.servers.len()).map(|_| self.random.uniform()).collect();
        let mut best: Option<(f64, f64, bool, ServerId)> = None;
        for (s, noise) in self.servers.values_mut().zip(noise) {
            let usable = s.info.lifecycle == Lifecycle::Running && !self.disabled.contains_key(&s.info.id);
            let open = lane.map_or(self.zone_lanes.is_open(s.info.zone), |lane| lane == s.info.zone);
            if !(usable && open && fits(&s.info)) {
                continue;
            }
            let (size, warmth, out) =
                (s.relative_capacity(mean_size), s.warm_share(now, &self.settings), s.in_flight_count());
            if out >= (horizon * s.answers.get(now)).max(least * size).max(MIN_IN_FLIGHT_FROM_HERE)
                || (warmth < 1.0
                    && !s.admits_during_slow_start(now, warm_rate * size * warmth, &self.settings))
            {
                continue;
            }
            let kind = self.machine_kind_slowness.get(&s.info.kind).map_or(1.0, |kind| kind.0);
            let silent = s.in_flight.first().filter(|o| !o.body_in_transit && s.last_answer < o.sent_at);
            let slow = s.slowness(now, kind).max(silent.map_or(0.0, |o| now.since(o.sent_at)) / typical);
            let at =
                |sick: Option<&FailureRate>| sick.map_or(0.0, |sick| sick.get(now, SLOWNESS_HALF_LIFE_SECS));
            let sick = at(s.sick.get(&request.class)) + at(self.zone_connect_failures.get(&s.info.zone));
            let load = 1.0 + (out + s.decayed_queue(now)) / (size * warmth);
            let abroad = if s.info.zone == self.settings.zone || lane.is_some() {
                0.0
            } else {
                sanitize(self.settings.cross_zone_price)
            };
            let again = if request.attempts.iter().any(|a| a.server == s.info.id) { CHOICE.1 } else { 1.0 };
            let cost = slow
                * (1.0 + FAILURE_COST_WEIGHT * sick)
                * load
                * (1.0 + CHOICE.0 * abroad)
                * again
                * (1.0 + CHOICE.2 * noise)
                * if s.near { 1.0 } else { CHOICE.3 }
                * if warmth < 1.0 { CHOICE.4 } else { 1.0 }
                * if s.owed { 0.0 } else { 1.0 };
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, typical * slow, silent.is_some_and(|o| now >= o.doubted_at), s.info.id));
            }
        }
        // Where even this one is too slow for what is left, or silent beyond doubt, nothing is sent. A first
        // attempt may go to a slow one that answers: that shows when it has recovered.
        let (first, left) = (request.attempts.is_empty(), request.latency_deadline.since(now));
        let hopeful = |takes: f64, silent: bool| if first { !silent } else { MIN_TIME_LEFT * takes <= left };
        best.filter(|(_, takes, silent, _)| hopeful(*takes, *silent)).map(|(.., id)| id)
    }
}
