//! Clients that ask as fast as they are answered, and what became of every request.

use crate::client::Client;
use crate::lock;
use crate::wire::{Answer, Ask, Class, Wire};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What became of the requests of a load.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Served, with how long each took.
    pub took: Vec<Duration>,
    /// Ids of those that were served.
    pub served: Vec<String>,
    /// Turned away.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// A connection that was in use before ended as the request was sent: the node may have closed it between
    /// requests, and if so it has not taken this one.
    pub crossed: Vec<String>,
    /// Connections that found nobody.
    pub unreached: usize,
    /// No final answer.
    pub lost: Vec<String>,
    /// Served with another request's answer.
    pub mixed: Vec<String>,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.took.extend(other.took);
        self.served.extend(other.served);
        self.refused += other.refused;
        self.failed += other.failed;
        self.unreached += other.unreached;
        self.crossed.extend(other.crossed);
        self.lost.extend(other.lost);
        self.mixed.extend(other.mixed);
    }

    /// Ids of those that may have run: all that were sent.
    pub fn sent(&self) -> impl Iterator<Item = &String> {
        self.served.iter().chain(&self.lost).chain(&self.crossed)
    }

    /// Of those that were sent, how many ran more than once.
    pub fn twice(&self, ran: &HashMap<String, usize>) -> usize {
        self.sent().filter(|id| ran.get(*id).is_some_and(|n| *n > 1)).count()
    }

    /// The time within which this part of the served ones was, from 0 to 1.
    pub fn quantile(&mut self, part: f64) -> Duration {
        self.took.sort_unstable();
        let at = ((self.took.len() as f64 * part) as usize).min(self.took.len().saturating_sub(1));
        self.took.get(at).copied().unwrap_or_default()
    }
}

/// A load that is going on.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    tally: Arc<Mutex<Tally>>,
}

impl Load {
    /// So many clients, each with one request under way.
    pub fn start(wire: Wire, address: SocketAddr, clients: usize, class: Class, body: usize) -> Load {
        Load::asking(wire, address, clients, &Ask::new(class).carrying(body))
    }

    /// The same, all of whose requests are like this one but for their ids.
    pub fn asking(wire: Wire, address: SocketAddr, clients: usize, like: &Ask) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let tally = Arc::new(Mutex::new(Tally::default()));
        let threads = (0..clients)
            .map(|_| {
                let (stop, tally, like) = (stop.clone(), tally.clone(), like.clone());
                thread::spawn(move || {
                    let own = run(wire, address, &like, &stop);
                    lock(&tally).add(own);
                })
            })
            .collect();
        Load { stop, threads, tally }
    }

    /// Lets every client finish its request; gives what became of all.
    pub fn finish(self) -> Tally {
        self.stop.store(true, Ordering::SeqCst);
        let panicked = self.threads.into_iter().filter_map(|t| t.join().err()).count();
        assert_eq!(panicked, 0, "a client panicked");
        let tally = lock(&self.tally).clone();
        tally
    }
}

fn run(wire: Wire, address: SocketAddr, like: &Ask, stop: &AtomicBool) -> Tally {
    let mut tally = Tally::default();
    let mut client: Option<(Client, bool)> = None;
    while !stop.load(Ordering::SeqCst) {
        let Some((mut conn, used)) = client.take().or_else(|| Some((Client::connect(wire, address)?, false)))
        else {
            tally.unreached += 1;
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        let ask = Ask { id: crate::fresh_id(), ..like.clone() };
        let begun = Instant::now();
        match conn.ask(&ask) {
            Some(Answer::Served(bytes)) => {
                if bytes == ask.id.as_bytes() {
                    tally.took.push(begun.elapsed());
                    tally.served.push(ask.id);
                } else {
                    tally.mixed.push(ask.id);
                }
            }
            Some(Answer::Refused(_)) => {
                tally.refused += 1;
                thread::sleep(Duration::from_millis(1));
            }
            Some(Answer::Failed { .. }) => tally.failed += 1,
            None if used => {
                tally.crossed.push(ask.id);
                continue;
            }
            None => {
                tally.lost.push(ask.id);
                continue;
            }
        }
        if conn.told_to_close() {
            // RFC 9112, section 9.6: nothing further is sent there.
            continue;
        }
        client = Some((conn, true));
    }
    tally
}
