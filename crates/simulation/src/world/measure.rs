//! What is measured of a world from outside.

use super::*;

/// How forwarders see the boxes, and what that costs the boxes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measure {
    /// Of the forwarders that rank a box, the part that agrees on whether it belongs to the better half; the mean over
    /// boxes that two or more rank. 0.5 is chance.
    pub agreement: f64,
    /// Part of the pairs of boxes of different speeds that forwarders rank the wrong way round. 0.5 is chance.
    pub error: f64,
    /// Connections that the box with the most had to hold, and boxes that a forwarder ranks.
    pub connections: u32,
    /// Boxes that a forwarder knows, at most.
    pub known: usize,
}

impl World {
    /// Looks at the forwarders' rankings as they are.
    pub fn measure(&self) -> Measure {
        let mut votes: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
        let (mut wrong, mut pairs, mut known) = (0u64, 0u64, 0);
        for mover in &self.movers {
            let ranking: Vec<u32> = mover.balancer.ranking(0).map(box_of).collect();
            known = known.max(mover.balancer.tracked_servers());
            for (place, &server) in ranking.iter().enumerate() {
                let (better, all) = votes.entry(server).or_default();
                *better += u32::from(place < ranking.len() / 2);
                *all += 1;
                for &later in &ranking[place + 1..] {
                    let (a, b) = (self.boxes[server as usize].speed, self.boxes[later as usize].speed);
                    pairs += u64::from(a != b);
                    wrong += u64::from(a < b);
                }
            }
        }
        let agree = |&(better, all): &(u32, u32)| f64::from(better.max(all - better)) / f64::from(all);
        let judged: Vec<f64> = votes.values().filter(|v| v.1 > 1).map(agree).collect();
        Measure {
            agreement: judged.iter().sum::<f64>() / judged.len().max(1) as f64,
            error: wrong as f64 / pairs.max(1) as f64,
            connections: self.boxes.iter().map(SimBox::connections).max().unwrap_or(0),
            known,
        }
    }

    /// Wall time spent in the decision module by each request, in nanoseconds, where that is measured.
    pub fn decision_ns(&self) -> f64 {
        let asked: u64 = self.tally.classes.iter().map(|c| c.asked).sum();
        self.decided.as_nanos() as f64 / asked.max(1) as f64
    }
}
