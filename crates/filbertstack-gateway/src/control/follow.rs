//! Replication of the declared state and the registry from voters to followers.
//!
//! A node without a disk follows one voter. The voter sends it the declared state, the registry and,
//! several times a second, a pulse that says whether the voter is in contact with its group. A node
//! leaves a voter that is silent or cut off from the group, and follows another. Voters follow each
//! other for the registry.

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
use crate::control::discovery::find_leader;
use crate::control::node::Node;
use crate::control::parts::PartError;
use crate::control::search::LeaderSearch;
use crate::control::voter::Voter;
use crate::link::Dialer;
use crate::link::messages::Follow;
use crate::link::messages::Interest;
use crate::link::messages::Kind;
use crate::link::messages::NamedWeights;
use crate::link::messages::Notification;
use crate::link::messages::Watch;
use crate::link::messages::decode_addr;

/// How often a voter sends a pulse to its followers.
const PULSE_INTERVAL: Duration = Duration::from_millis(200);

/// How long a voter may be silent before its followers leave it: three lost pulses. An acknowledged
/// change must be in force everywhere within two seconds, even if a voter freezes right after it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// How often changed rows are sent to followers. Every node must know of a draining target within two
/// seconds, and rows that change within one interval share one frame.
const FLUSH_INTERVAL: Duration = Duration::from_millis(40);

/// A round that takes longer than this shows that the process was paused. A round takes
/// [`FLUSH_INTERVAL`] and some milliseconds, and the shortest timeout of the registry is four times
/// this value.
const PAUSE_THRESHOLD: Millis = Millis(400);

/// How often a voter sends its seeds the addresses of the voters.
const SEED_INTERVAL: Duration = Duration::from_secs(1);

/// How often a node may switch from a voter of another zone to one of its own zone. A switch leaves the
/// node without updates for some milliseconds, and a new voter without contact with its group makes
/// the node switch back.
const SWITCH_INTERVAL: Duration = Duration::from_secs(10);

/// The pause before a node tries another voter.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The mean interval between two searches for the voters. While a group elects a leader, nodes try each
/// voter many times a second, and need not ask all other nodes as often.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// The largest random deviation from [`SEARCH_INTERVAL`], as a fraction of it, so that nodes that lose
/// their voter at the same time do not search at the same time.
const JITTER: f64 = 0.3;

/// How long a voter that starts publishes nothing while it has not caught up with its log. An entry that is out of
/// contact with the voters for longer is not bound by evacuations that it does not know.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// How often a voter that starts checks whether it has caught up.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(20);

/// Publishes each committed state to this process and its followers.
///
/// A voter that starts publishes nothing before it has caught up: by the state of its last snapshot, its entry would
/// send requests to a zone that was evacuated after it.
pub async fn publish_documents(node: Rc<Node>, voter: Rc<Voter>) {
    let catch_up_until = Instant::now() + CATCH_UP_TIMEOUT;
    while !voter.has_caught_up() && Instant::now() < catch_up_until {
        sleep(CATCH_UP_INTERVAL).await;
    }
    let mut states = voter.watch();
    loop {
        let documents = states.borrow_and_update().clone();
        let held = node.declared.version();
        let weights = documents.weights().map(|w| NamedWeights {
            model: w.model,
            version: w.version,
            age_ms: 0,
        });
        // No request is routed by a document before the evacuations beside it are known.
        node.declared.update_zones(&documents.zones().state(), &[]);
        node.declared
            .update(Some(documents.document().clone()), weights.collect());
        for wanted in [Interest::All, Interest::Weights] {
            for news in node.declared.updates_since(held, wanted) {
                let to = |interest| (interest == wanted).then(|| news.clone());
                node.registry.notify(to);
            }
        }
        if states.changed().await.is_err() {
            return;
        }
    }
}

/// Sends followers changed rows, loads and pulses.
pub async fn update_followers(node: Rc<Node>) {
    let mut pulse_at = Instant::now();
    let mut previous = node.clock.now();
    loop {
        sleep(FLUSH_INTERVAL).await;
        let now = node.clock.now();
        let span = now.since(previous);
        previous = now;
        if span > PAUSE_THRESHOLD || !node.is_current() {
            node.registry.defer(span);
        }
        node.registry.flush();
        node.loads.flush();
        if Instant::now() >= pulse_at {
            pulse_at = Instant::now() + PULSE_INTERVAL;
            node.registry.expire();
            let pulse = node.pulse();
            node.registry.notify(|_| Some(pulse.clone()));
        }
    }
}

/// Sends the addresses of the voters to the seeds.
///
/// Seeds may be nodes without a disk. When all processes restart at once, such seeds know no other node,
/// and without this message no node would find the voters.
pub async fn notify_seeds(node: Rc<Node>) {
    loop {
        let pulse = node.pulse();
        for seed in node.seeds.current() {
            if seed != node.settings.node.link {
                node.dialer.tell(seed, pulse.clone());
            }
        }
        sleep(SEED_INTERVAL).await;
    }
}

/// Why a node stopped following a voter.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FollowEnd {
    /// The voter was not reached, or never in contact with its group.
    NeverCurrent,
    /// The voter was followed, and then fell silent or lost contact with its group.
    Lost,
    /// Another voter is in this node's own zone.
    NearerFound,
}

/// Follows one voter at a time until the process ends, and prefers the voters of its own zone. After all
/// known voters have failed, for example because they were replaced while this node was cut off, it
/// searches for the voters again.
///
/// Each follower receives the loads of its engines several times a second. A voter of another region
/// would send them over the narrow links between regions.
pub async fn follow_group(node: Rc<Node>) {
    let mut failures = 0;
    let mut finder = VoterFinder::new();
    let mut switch_after = Instant::now();
    loop {
        if failures >= node.voters().len() && finder.find(&node).await {
            failures = 0;
        }
        let ranked = ranked_voters(&node);
        let Some(voter) = ranked.get(failures % ranked.len().max(1)) else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        match follow(&node, *voter, switch_after).await {
            FollowEnd::NearerFound => {
                // Questions still go to the previous voter until the nearer one is followed.
                switch_after = Instant::now() + SWITCH_INTERVAL;
                failures = 0;
                continue;
            }
            FollowEnd::Lost => failures = 0,
            FollowEnd::NeverCurrent => {}
        }
        // The voter that was just lost is not the next one to try.
        failures += 1;
        node.set_followed(None);
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns the voters in the order in which this node tries them: first those of its zone. Each node has
/// an order of its own, so that the followers are spread over the voters.
fn ranked_voters(node: &Node) -> Vec<SocketAddr> {
    let mut ranked = node.voters();
    let own = &node.settings.node.name;
    ranked.sort_by_cached_key(|voter| (!is_local(node, *voter), hash(&format!("{own} {voter}"))));
    ranked
}

/// Returns whether a voter is known to be in this node's zone and is not leaving.
fn is_local(node: &Node, voter: SocketAddr) -> bool {
    let rows = node.registry.present();
    rows.iter().any(|(_, kind, _)| match &**kind {
        Kind::Entry(row) => {
            row.zone == node.settings.node.zone
                && !row.leaving
                && decode_addr(&row.link) == Some(voter)
        }
        _ => false,
    })
}

/// The search for voters by a node without a disk.
struct VoterFinder {
    next_search: Instant,
    /// Since when no voter could be followed, or when this was last logged.
    unreached_since: Instant,
}

impl VoterFinder {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            next_search: now,
            unreached_since: now,
        }
    }

    /// Asks the seeds, the known voters and the nodes that these name. Returns false without a search if
    /// the previous one is more recent than about [`SEARCH_INTERVAL`].
    async fn find(&mut self, node: &Rc<Node>) -> bool {
        let now = Instant::now();
        if now < self.next_search {
            return false;
        }
        let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
        self.next_search = now + SEARCH_INTERVAL.mul_f64(factor);
        let starts = node.seeds.current().into_iter().chain(node.voters());
        let mut search = LeaderSearch::new(node.settings.node.link, starts);
        find_leader(&node.dialer, &mut search).await;
        node.learn_voters(search.voters().to_vec());
        self.log_failure(node, &search);
        true
    }

    fn log_failure(&mut self, node: &Node, search: &LeaderSearch) {
        let now = Instant::now();
        if node.is_current() || search.leader().is_some() {
            self.unreached_since = now;
        } else if now.duration_since(self.unreached_since) >= EXPLAIN_INTERVAL {
            self.unreached_since = now;
            warn!("no voter is in contact with its group", kv: {
                for_s = EXPLAIN_INTERVAL.as_secs(), asked = search.summary()
            });
        }
    }
}

/// Follows `voter` until it is silent or loses contact with its group.
///
/// From `switch_after` on, the node also leaves it if there is a voter in the node's own zone.
async fn follow(node: &Rc<Node>, voter: SocketAddr, switch_after: Instant) -> FollowEnd {
    let (sender, mut news) = mpsc::unbounded_channel();
    let link = match Dialer::subscribe(voter, sender).await {
        Ok(link) => link,
        Err(error) => {
            info!("voter not reached", kv: { voter = voter.to_string(), error = error.to_string() });
            return FollowEnd::NeverCurrent;
        }
    };
    link.tell(Notification::Follow(Follow {
        version: node.declared.version(),
        interest: node.interest.into(),
    }));
    // The voter may have lost its own records.
    node.tell_observations(&link, Interest::Registered);
    let mut wanted = node.loads.watch_wanted();
    wanted.mark_changed();
    let mut followed = false;
    let end = |followed| {
        if followed {
            FollowEnd::Lost
        } else {
            FollowEnd::NeverCurrent
        }
    };
    let mut last_news = Instant::now();
    loop {
        let received = tokio::select! {
            received = timeout_at(last_news + SILENCE_TIMEOUT, news.recv()) => received,
            // The sender belongs to the node and outlives this function.
            _ = wanted.changed() => {
                let engines = wanted.borrow_and_update().iter().copied().collect();
                link.tell(Notification::Watch(Watch { engines }));
                continue;
            }
        };
        last_news = Instant::now();
        match received {
            Ok(Some(Notification::VoterHeartbeat(pulse))) if !pulse.current => {
                // While a group forms or elects a leader, every voter is tried many times a second.
                if followed {
                    info!("stopped following the voter: it has no contact with its group",
                        kv: { voter = voter.to_string() });
                }
                return end(followed);
            }
            Ok(Some(Notification::VoterHeartbeat(pulse))) => {
                node.learn_voters(pulse.voters.iter().filter_map(|v| decode_addr(v)).collect());
                node.registry.prune();
                if !followed {
                    info!("following a voter", kv: { voter = voter.to_string() });
                    followed = true;
                }
                node.set_followed(Some(voter));
                if Instant::now() >= switch_after && nearer_exists(node, voter) {
                    info!("stopped following the voter: there is one in this zone",
                        kv: { voter = voter.to_string() });
                    return FollowEnd::NearerFound;
                }
            }
            Ok(Some(news)) => {
                if let Err(error) = apply_news(node, news) {
                    warn!("stopped following the voter: its document could not be assembled", kv: {
                        voter = voter.to_string(), error = error.to_string()
                    });
                    return end(followed);
                }
            }
            Ok(None) | Err(_) => {
                info!("stopped following the voter: it is silent",
                    kv: { voter = voter.to_string() });
                return end(followed);
            }
        }
    }
}

/// Returns whether another voter is in this node's zone and `voter` is not.
fn nearer_exists(node: &Node, voter: SocketAddr) -> bool {
    !is_local(node, voter) && node.voters().iter().any(|other| is_local(node, *other))
}

fn apply_news(node: &Rc<Node>, news: Notification) -> Result<(), PartError> {
    match news {
        Notification::Part(factor) => node.declared.apply_part(factor)?,
        Notification::Declared(declared) => node.declared.apply_declared(declared),
        Notification::Rows(rows) => {
            if rows.whole && node.voter.is_none() {
                node.registry.begin_listing();
            }
            node.registry.merge(rows.rows, false);
        }
        Notification::Loads(loads) => node.loads.record(loads.rows, false),
        Notification::Crashes(crashes) => node.merge_crashes(&crashes),
        Notification::Limits(limits) => node.merge_limits(&limits),
        Notification::Demand(demand) => node.set_total_demand(&demand),
        Notification::Log(_)
        | Notification::Follow(_)
        | Notification::VoterHeartbeat(_)
        | Notification::Watch(_) => {}
    }
    Ok(())
}

/// Follows all other voters for the rows that are registered at them.
pub async fn follow_peers(node: Rc<Node>, voter: Rc<Voter>) {
    let mut following: Vec<(SocketAddr, tokio::task::JoinHandle<()>)> = Vec::new();
    loop {
        following.retain(|(_, task)| !task.is_finished());
        let wanted = voter.other_voters();
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
                let task = spawn_local(async move { follow_peer(&node, peer).await });
                following.push((peer, task));
            }
        }
        sleep(PULSE_INTERVAL).await;
    }
}

/// Merges the rows registered at another voter, whether or not it is in contact with its group.
async fn follow_peer(node: &Rc<Node>, voter: SocketAddr) {
    let (sender, mut news) = mpsc::unbounded_channel();
    let Ok(link) = Dialer::subscribe(voter, sender).await else {
        return;
    };
    let follow = Follow {
        version: u64::MAX,
        interest: Interest::Registered.into(),
    };
    link.tell(Notification::Follow(follow));
    while let Ok(Some(news)) = timeout(SILENCE_TIMEOUT, news.recv()).await {
        match news {
            Notification::Rows(rows) => node.registry.merge(rows.rows, false),
            Notification::Loads(loads) => node.loads.record(loads.rows, false),
            Notification::Crashes(crashes) => node.merge_crashes(&crashes),
            Notification::Limits(limits) => node.merge_limits(&limits),
            Notification::Demand(demand) => node.merge_voter_demand(&demand),
            Notification::VoterHeartbeat(pulse) => {
                node.note_document(pulse.document);
                if let Some(own) = &node.voter {
                    own.record_heartbeat(voter, pulse.leaving);
                }
            }
            _ => {}
        }
    }
}
