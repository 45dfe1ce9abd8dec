//! Following a voter, and being followed.
//!
//! A node without a disk follows one voter: it is told the declared state, the registry and,
//! several times a second, whether the voter is in contact with its group. A voter that is silent
//! or cut off from the others is left for another. Voters follow each other for the registry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_policy::subset::hash;
use rand::RngExt as _;
use spdlog::info;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::control::EXPLAIN_INTERVAL;
use crate::control::node::Node;
use crate::control::parts::PartError;
use crate::control::search::Search;
use crate::control::seek::seek_leader;
use crate::control::voter::Voter;
use crate::link::Dialer;
use crate::link::messages::Follow;
use crate::link::messages::Interest;
use crate::link::messages::Kind;
use crate::link::messages::NamedWeights;
use crate::link::messages::News;
use crate::link::messages::Watch;
use crate::link::messages::addr;

/// How often followers hear from their voter.
const PULSE: Duration = Duration::from_millis(200);

/// After which silence a voter is left: three pulses lost. What was acknowledged must be in force
/// within two seconds also where a voter freezes right after it.
const SILENT: Duration = Duration::from_millis(700);

/// How often changed rows are told: a target that drains must be known everywhere within two
/// seconds, and rows that change together share one frame.
const FLUSH: Duration = Duration::from_millis(40);

/// A turn that took so long shows that the process was paused: a turn takes [`FLUSH`] and some
/// milliseconds, and the shortest patience with others is four times this.
const PAUSED: Millis = Millis(400);

/// How often a voter tells its seeds who the voters are.
const SEEDS: Duration = Duration::from_secs(1);

/// How often a voter of another zone may be left for one of this node's own: the change leaves a node
/// without news for some milliseconds, and one that is not in contact yet sends it back.
const LOOK_NEAR: Duration = Duration::from_secs(10);

/// The pause before another voter is tried.
const RETRY: Duration = Duration::from_millis(100);

/// The least pause between two searches for the voters, in the mean: while a group elects, nodes
/// try each voter many times a second, and need not ask all others as often.
const SEARCH: Duration = Duration::from_secs(1);

/// The part of [`SEARCH`] that is drawn by lot, so that nodes that lost their voter together do not
/// search together.
const JITTER: f64 = 0.3;

/// Shows each committed state to this process and its followers.
pub async fn show_documents(node: Rc<Node>, voter: Rc<Voter>) {
    let mut seen = voter.watch();
    loop {
        let documents = seen.borrow_and_update().clone();
        let held = node.declared.version();
        let weights = documents.weights().map(|w| NamedWeights {
            model: w.model,
            version: w.version,
            age_ms: 0,
        });
        node.declared
            .take(Some(documents.document().clone()), weights.collect());
        for told in [Interest::All, Interest::Weights] {
            for news in node.declared.since(held, told) {
                let to = |interest| (interest == told).then(|| news.clone());
                node.registry.tell(to);
            }
        }
        if seen.changed().await.is_err() {
            return;
        }
    }
}

/// Tells followers changed rows and signs of life.
pub async fn keep_followers(node: Rc<Node>) {
    let mut pulse_at = Instant::now();
    let mut last = node.clock.now();
    loop {
        sleep(FLUSH).await;
        let now = node.clock.now();
        let span = now.since(last);
        last = now;
        if span > PAUSED || !node.is_current() {
            node.registry.defer(span);
        }
        node.registry.flush();
        node.loads.flush();
        if Instant::now() >= pulse_at {
            pulse_at = Instant::now() + PULSE;
            node.registry.expire();
            let pulse = node.pulse();
            node.registry.tell(|_| Some(pulse.clone()));
        }
    }
}

/// Tells the seeds who the voters are. Seeds may be nodes without a disk: when all processes start
/// again at once, those know nobody either, and nobody would find the voters.
pub async fn tell_seeds(node: Rc<Node>) {
    loop {
        let pulse = node.pulse();
        for seed in node.seeds.now() {
            if seed != node.settings.node.link {
                node.dialer.tell(seed, pulse.clone());
            }
        }
        sleep(SEEDS).await;
    }
}

/// How a voter came to be left.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Left {
    /// It was never in contact.
    Unfollowed,
    /// Contact was lost.
    Lost,
    /// One in this node's own zone is there.
    ForNearer,
}

/// Follows one voter after the other, until the process ends: those of its own zone first. Once all
/// that are known were tried in vain, as when they were replaced while this node was cut off, voters
/// are searched for anew.
///
/// Each follower is told of its engines' loads several times a second, which a voter of another
/// region would send over the narrow links between regions.
pub async fn follow_group(node: Rc<Node>) {
    let mut vain = 0;
    let mut finder = Finder::new();
    let mut look_near = Instant::now();
    loop {
        if vain >= node.voters().len() && finder.find(&node).await {
            vain = 0;
        }
        let ranked = ranked_voters(&node);
        let Some(voter) = ranked.get(vain % ranked.len().max(1)) else {
            sleep(RETRY).await;
            continue;
        };
        match follow(&node, *voter, look_near).await {
            Left::ForNearer => {
                // The voter that is left stays the one to ask until the nearer one is followed.
                look_near = Instant::now() + LOOK_NEAR;
                vain = 0;
                continue;
            }
            Left::Lost => vain = 0,
            Left::Unfollowed => {}
        }
        // The one that was just lost is not the next to be tried.
        vain += 1;
        node.set_followed(None);
        sleep(RETRY).await;
    }
}

/// The voters in the order in which this node tries them: those of its zone first, and each node has
/// an order of its own, so that voters share the followers.
fn ranked_voters(node: &Node) -> Vec<SocketAddr> {
    let mut ranked = node.voters();
    let own = &node.settings.node.name;
    ranked.sort_by_cached_key(|voter| (!is_near(node, *voter), hash(&format!("{own} {voter}"))));
    ranked
}

/// Whether a voter is known to be in this node's zone and to stay.
fn is_near(node: &Node, voter: SocketAddr) -> bool {
    let rows = node.registry.present();
    rows.iter().any(|(_, kind, _)| match &**kind {
        Kind::Entry(row) => {
            row.zone == node.settings.node.zone && !row.leaving && addr(&row.link) == Some(voter)
        }
        _ => false,
    })
}

/// Finds the voters for a node without a disk.
struct Finder {
    next: Instant,
    /// Since when no voter could be followed, or when that was said last.
    outside: Instant,
}

impl Finder {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            next: now,
            outside: now,
        }
    }

    /// Asks the seeds and the voters that were known, and whoever these name. Returns whether it
    /// is time to, at most once in about [`SEARCH`].
    async fn find(&mut self, node: &Rc<Node>) -> bool {
        let now = Instant::now();
        if now < self.next {
            return false;
        }
        let part = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
        self.next = now + SEARCH.mul_f64(part);
        let starts = node.seeds.now().into_iter().chain(node.voters());
        let mut search = Search::new(node.settings.node.link, starts);
        seek_leader(&node.dialer, &mut search).await;
        node.learn_voters(search.voters().to_vec());
        self.explain(node, &search);
        true
    }

    fn explain(&mut self, node: &Node, search: &Search) {
        let now = Instant::now();
        if node.is_current() || search.leader().is_some() {
            self.outside = now;
        } else if now.duration_since(self.outside) >= EXPLAIN_INTERVAL {
            self.outside = now;
            warn!("no voter is in contact with its group", kv: {
                for_s = EXPLAIN_INTERVAL.as_secs(), asked = search.account()
            });
        }
    }
}

/// Follows `voter` until it is silent or out of contact with its group.
///
/// From `look_near` on it is left for one in this node's zone, if there is any.
async fn follow(node: &Rc<Node>, voter: SocketAddr, look_near: Instant) -> Left {
    let (sender, mut news) = mpsc::unbounded_channel();
    let link = match Dialer::subscribe(voter, sender).await {
        Ok(link) => link,
        Err(error) => {
            info!("voter not reached", kv: { voter = voter.to_string(), error = error.to_string() });
            return Left::Unfollowed;
        }
    };
    link.tell(News::Follow(Follow {
        version: node.declared.version(),
        interest: node.interest.into(),
    }));
    let mut wanted = node.loads.wanted();
    wanted.mark_changed();
    let mut told = false;
    let left = |told| if told { Left::Lost } else { Left::Unfollowed };
    let mut heard = Instant::now();
    loop {
        let came = tokio::select! {
            came = timeout_at(heard + SILENT, news.recv()) => came,
            // The sender is the node's own, and outlives this.
            _ = wanted.changed() => {
                let engines = wanted.borrow_and_update().iter().copied().collect();
                link.tell(News::Watch(Watch { engines }));
                continue;
            }
        };
        heard = Instant::now();
        match came {
            Ok(Some(News::Pulse(pulse))) if !pulse.current => {
                // While a group forms or elects, every voter is tried many times a second.
                if told {
                    info!("voter left: it has no contact with its group",
                        kv: { voter = voter.to_string() });
                }
                return left(told);
            }
            Ok(Some(News::Pulse(pulse))) => {
                node.learn_voters(pulse.voters.iter().filter_map(|v| addr(v)).collect());
                node.registry.prune();
                if !told {
                    info!("voter followed", kv: { voter = voter.to_string() });
                    told = true;
                }
                node.set_followed(Some(voter));
                if Instant::now() >= look_near && has_nearer(node, voter) {
                    info!("voter left: there is one in this zone", kv: { voter = voter.to_string() });
                    return Left::ForNearer;
                }
            }
            Ok(Some(news)) => {
                if let Err(error) = take(node, news) {
                    warn!("voter left: its document did not come", kv: {
                        voter = voter.to_string(), error = error.to_string()
                    });
                    return left(told);
                }
            }
            Ok(None) | Err(_) => {
                info!("voter left: it is silent", kv: { voter = voter.to_string() });
                return left(told);
            }
        }
    }
}

/// Whether there is a voter in this node's zone, and `voter` is not.
fn has_nearer(node: &Node, voter: SocketAddr) -> bool {
    !is_near(node, voter) && node.voters().iter().any(|other| is_near(node, *other))
}

fn take(node: &Rc<Node>, news: News) -> Result<(), PartError> {
    match news {
        News::Part(part) => node.declared.follow_part(part)?,
        News::Declared(declared) => node.declared.follow(declared),
        News::Rows(rows) => {
            if rows.whole && node.voter.is_none() {
                node.registry.begin_listing();
            }
            node.registry.take(rows.rows, false);
        }
        News::Loads(loads) => node.loads.take(loads.rows, false),
        News::Log(_) | News::Follow(_) | News::Pulse(_) | News::Watch(_) => {}
    }
    Ok(())
}

/// A voter follows all others for the rows registered there.
pub async fn follow_peers(node: Rc<Node>, voter: Rc<Voter>) {
    let mut following: Vec<(SocketAddr, tokio::task::JoinHandle<()>)> = Vec::new();
    loop {
        following.retain(|(_, task)| !task.is_finished());
        let wanted = voter.others();
        following.retain(|(peer, task)| {
            let keep = wanted.contains(peer);
            if !keep {
                task.abort();
            }
            keep
        });
        for peer in wanted {
            if following.iter().all(|(p, _)| *p != peer) {
                let node = node.clone();
                let task = spawn_local(async move { follow_voter(&node, peer).await });
                following.push((peer, task));
            }
        }
        sleep(PULSE).await;
    }
}

/// Takes in the rows registered at another voter, in contact with its group or not.
async fn follow_voter(node: &Rc<Node>, voter: SocketAddr) {
    let (sender, mut news) = mpsc::unbounded_channel();
    let Ok(link) = Dialer::subscribe(voter, sender).await else {
        return;
    };
    let follow = Follow {
        version: u64::MAX,
        interest: Interest::Registered.into(),
    };
    link.tell(News::Follow(follow));
    while let Ok(Some(news)) = timeout(SILENT, news.recv()).await {
        match news {
            News::Rows(rows) => node.registry.take(rows.rows, false),
            News::Loads(loads) => node.loads.take(loads.rows, false),
            News::Pulse(pulse) => node.hear_document(pulse.document),
            _ => {}
        }
    }
}
