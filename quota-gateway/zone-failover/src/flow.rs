//! Who sends where: all of a zone's traffic to itself while it bears it, what it can't bear to the nearest zone with room and
//! only that much, between regions only when the own one has no room; and what nobody bears is refused at the door.

use crate::settings::Settings;

/// What is to be shared out, by zone.
#[derive(Clone, Debug)]
pub struct Load {
    /// Units a second that its gateways are asked for.
    pub asked: Vec<f64>,
    /// Units a second that it may be sent.
    pub room: Vec<f64>,
    /// Whether others may send there; its own gateways may wherever there is room.
    pub takes: Vec<bool>,
    /// Whether others look at it: also at one that is suspect, or nothing more would be learnt of it.
    pub looks: Vec<bool>,
    /// Whether it is suspect.
    pub suspect: Vec<bool>,
    /// Ways that are cut: nothing is sent from the one to the other.
    pub cut: Vec<Vec<bool>>,
}

/// Of a zone's traffic so much goes to its neighbours in any case, evenly: without it nobody would know how they are before they
/// are needed. A hundredth costs a hundredth of the nearness.
pub const LOOK: f64 = 0.01;
/// ... and of a zone's that is suspect: whether its gateways are served elsewhere tells whether it is it that fails, or they.
pub const LOOK_MORE: f64 = 0.05;

/// For each from-zone the share that each to-zone gets. No zone is sent more than its room, all from-zones together.
pub fn flow(settings: &Settings, load: &Load) -> Vec<Vec<f64>> {
    let n = load.asked.len();
    let mut room = load.room.clone();
    let mut sent = vec![vec![0.0; n]; n];
    let give = |sent: &mut Vec<Vec<f64>>, room: &mut Vec<f64>, from: usize, to: usize, most: f64| {
        let units = most.min(room[to]).max(0.0);
        sent[from][to] += units;
        room[to] -= units;
        units
    };
    let open = |from: usize, to: usize| load.takes[to] && !load.cut[from][to];
    // Looks first, so that a full neighbour is still looked at by as much as it has room for.
    for from in 0..n {
        let others: Vec<usize> =
            (0..n).filter(|&to| to != from && load.looks[to] && !load.cut[from][to]).collect();
        let look = if load.suspect[from] { LOOK_MORE } else { LOOK };
        for &to in &others {
            give(&mut sent, &mut room, from, to, load.asked[from] * look / others.len() as f64);
        }
    }
    let mut left: Vec<f64> = (0..n).map(|from| load.asked[from] - sent[from].iter().sum::<f64>()).collect();
    for from in (0..n).filter(|&from| !load.cut[from][from]) {
        left[from] -= give(&mut sent, &mut room, from, from, left[from]);
    }
    // The own region's zones before the others', and within each ring nearest first; two that want the same room share it by
    // what they want, so that the order of zones gives nobody more.
    for own_region in [true, false] {
        for ring in 1..n {
            let wishes: Vec<(usize, usize)> = (0..n)
                .filter(|&from| left[from] > 0.0)
                .filter_map(|from| {
                    let nearest = settings.nearest(from);
                    let near = |to: &&usize| {
                        (settings.places[**to].region == settings.places[from].region) == own_region
                            && open(from, **to)
                    };
                    Some((from, *nearest.iter().filter(near).nth(ring - 1)?))
                })
                .collect();
            for to in 0..n {
                let wanted: f64 = wishes.iter().filter(|(_, t)| *t == to).map(|(from, _)| left[*from]).sum();
                if wanted <= 0.0 {
                    continue;
                }
                let part = (room[to] / wanted).min(1.0);
                for &(from, _) in wishes.iter().filter(|(_, t)| *t == to) {
                    let units = left[from] * part;
                    left[from] -= give(&mut sent, &mut room, from, to, units);
                }
            }
        }
    }
    for (from, row) in sent.iter_mut().enumerate() {
        let asked = load.asked[from];
        if asked > 0.0 {
            row.iter_mut().for_each(|units| *units /= asked);
            let sum: f64 = row.iter().sum();
            // Rounding alone; a decision whose shares sum to more than 1 is refused by its readers.
            row.iter_mut().for_each(|share| *share = (*share / sum.max(1.0)).clamp(0.0, 1.0));
        } else {
            // Nothing is asked: the own zone, if it takes anything, else the nearest that does.
            let order = std::iter::once(from).chain(settings.nearest(from));
            if let Some(to) =
                order.into_iter().find(|&to| load.room[to] > 0.0 && (to == from || open(from, to)))
            {
                row[to] = 1.0;
            }
        }
    }
    sent
}
