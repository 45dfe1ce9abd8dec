//! Gathering all pieces of one version.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_control::document::Weights;
use filbertstack_core::Millis;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::ask_manifest;
use filbertstack_platform::engine::ask_piece;
use filbertstack_platform::engine::read_manifest;
use filbertstack_policy::pieces::Layout;
use filbertstack_policy::pieces::Plan;
use filbertstack_policy::pieces::Window;
use futures_util::StreamExt as _;
use futures_util::stream;
use spdlog::info;
use spdlog::warn;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::agent::Agent;
use crate::agent::peers;
use crate::agent::peers::OWNER_WAIT;
use crate::agent::shelf::Set;
use crate::client::call;
use crate::link::LinkError;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;

/// How many pieces are looked for at once. Waiting for one costs nothing but a question, and a
/// piece whose owner is slow must not keep others from being looked for.
const WINDOW: usize = 64;

/// How long one agent may take for a piece: a whole copy passes its link meanwhile, as it serves
/// others too.
const PEER: Duration = Duration::from_millis(2_500);

/// How long an agent may send nothing at all while it is asked for pieces. One that gets on sends
/// a piece to somebody each 50 ms, and its turns go round.
const PEER_SILENT: Duration = Duration::from_millis(1_200);

/// How long an agent may take to say whether it has a piece: what it lets others wait, and the
/// way.
const HAS: Duration = OWNER_WAIT.saturating_add(Duration::from_millis(400));

/// How long an owner may take to say whether it has a piece now. One that is frozen has nothing
/// to give, and the origin may be gone soon.
const HAS_NOW: Duration = Duration::from_millis(300);

/// The pause before it is asked again whether an owner has a piece, when it has.
const HAS_AGAIN: Duration = Duration::from_millis(300);

/// How many pieces are fetched from the origin at once: an agent owns some two or three, and live
/// requests on the same link wait behind those that are under way.
const ORIGIN_DOWNLOADS: usize = 1;

/// For how long an agent that let a question time out is asked for nothing else: it is frozen or
/// its link is narrow, and others have what it has.
const PASSED_OVER: Duration = Duration::from_secs(2);

/// How long the origin may take for a piece while all owners ask at once: a copy of all pieces
/// takes its link a second or two.
const ORIGIN: Duration = Duration::from_millis(2_500);

/// How long a list of pieces may take: it is short.
const LIST: Duration = Duration::from_millis(800);

/// The pause before sources are asked again that all failed.
const PAUSE: Duration = Duration::from_millis(100);

/// For how long the layout of the agents is kept: ranking them for each of some dozen pieces and
/// rounds took an agent's whole share of a core at 65 agents.
const LAYOUT: Duration = Duration::from_millis(400);

/// The longest list of pieces, in bytes: those of some thousand pieces.
const LONGEST_LIST: usize = 1 << 20;

/// After how many wrong bytes for one piece the list itself is doubted and fetched again.
const WRONG: u32 = 4;

/// Gathers the pieces of `weights` on the shelf. Ends when they are all there; dropped, it
/// stops, and what came stays.
pub async fn gather(agent: Rc<Agent>, weights: Holding) {
    let fetch = Fetch {
        agent: agent.clone(),
        weights: weights.clone(),
        began: Instant::now(),
        slow: RefCell::default(),
        layout: RefCell::default(),
        origin_slots: Semaphore::new(ORIGIN_DOWNLOADS),
        window: RefCell::default(),
        under_way: Cell::new(0),
        freed: Notify::new(),
    };
    loop {
        let set = match agent.shelf.find(&weights) {
            Some(set) => set,
            None => Rc::new(Set::new(fetch.list().await)),
        };
        agent.shelf.begin(set.clone());
        if fetch.pieces(&set).await {
            agent.shelf.complete(&set);
            info!("all pieces are there", kv: {
                version = weights.version, took_ms = fetch.began.elapsed().as_millis()
            });
            return;
        }
        warn!("pieces do not fit their list, which is fetched again",
            kv: { version = weights.version });
        agent.shelf.forget(&weights);
    }
}

/// One agent's fetch of one version.
struct Fetch {
    agent: Rc<Agent>,
    weights: Holding,
    began: Instant,
    /// Agents that did not answer in time, and when.
    slow: RefCell<BTreeMap<Arc<str>, Instant>>,
    layout: RefCell<Option<(Rc<Layout>, Instant)>>,
    origin_slots: Semaphore,
    window: RefCell<Window>,
    under_way: Cell<u32>,
    freed: Notify,
}

/// A piece that is under way to this agent.
struct Slot<'a>(&'a Fetch);

impl<'a> Slot<'a> {
    async fn take(fetch: &'a Fetch) -> Self {
        while fetch.under_way.get() >= fetch.window.borrow().size() {
            fetch.freed.notified().await;
        }
        fetch.under_way.set(fetch.under_way.get() + 1);
        Self(fetch)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - 1);
        self.0.freed.notify_waiters();
    }
}

impl Fetch {
    /// The layout of the agents that are there, ranked anew from time to time.
    fn layout(&self) -> Rc<Layout> {
        let kept = self.layout.borrow().clone();
        if let Some((layout, _)) = kept.filter(|(_, at)| at.elapsed() < LAYOUT) {
            return layout;
        }
        let peers = peers::peers(&self.agent.node, &self.weights);
        let zone = &self.agent.node.settings.node.zone;
        let layout = Rc::new(Layout::new(&self.agent.id(), zone, &peers));
        *self.layout.borrow_mut() = Some((layout.clone(), Instant::now()));
        layout
    }

    fn plan(&self, piece: u32) -> Plan {
        self.layout().plan(piece)
    }

    async fn list(&self) -> PieceList {
        loop {
            let plan = self.plan(0);
            for id in plan.near.iter().chain(&plan.far) {
                if let Some(list) = list_of_peer(&self.agent, &self.weights, id).await {
                    return list;
                }
            }
            if let Some(list) = list_of_origin(&self.agent, &self.weights).await {
                return list;
            }
            sleep(PAUSE).await;
        }
    }

    /// Fetches all pieces; false if some do not fit the list.
    async fn pieces(&self, set: &Rc<Set>) -> bool {
        let wanted = self.layout().order(set.count());
        let missing = wanted.into_iter().filter(|n| set.piece(*n).is_none());
        let all = stream::iter(missing)
            .map(|number| self.piece(set, number))
            .buffer_unordered(WINDOW)
            .all(|fits| async move { fits })
            .await;
        all && set.is_whole()
    }

    /// Fetches one piece from other agents and, when it may be asked, from the origin at the same
    /// time; false if what comes never fits the list.
    async fn piece(&self, set: &Rc<Set>, number: u32) -> bool {
        let wrong = Cell::new(0);
        tokio::select! {
            () = self.ask_peers(set, number) => true,
            () = self.ask_origin(set, number, &wrong) => wrong.get() < WRONG,
        }
    }

    async fn ask_peers(&self, set: &Rc<Set>, number: u32) {
        loop {
            for id in self.asked(number) {
                let bytes = self.ask_peer(number, &id).await;
                if bytes.is_some_and(|bytes| set.put(number, bytes)) {
                    return;
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// The agents to ask for a piece now.
    fn asked(&self, number: u32) -> Vec<Arc<str>> {
        let plan = self.plan(number);
        let spent = Millis::from(self.began.elapsed());
        let mut asked = plan.near;
        asked.retain(|id| !self.is_slow(id));
        if asked.is_empty() || spent >= plan.far_after {
            asked.extend(plan.far.into_iter().filter(|id| !self.is_slow(id)));
        }
        asked
    }

    /// Waits while a newer version gets on. Both at once would slow each other, and bring every
    /// engine to two versions one after the other. The older one goes on if the newer stalls, as
    /// it does when the origin fails right after it was named.
    async fn yield_to_newer(&self) {
        while self.agent.shelf.is_newer_moving(self.weights.version) {
            sleep(PAUSE).await;
        }
    }

    fn is_slow(&self, id: &str) -> bool {
        let slow = self.slow.borrow();
        slow.get(id).is_some_and(|at| at.elapsed() < PASSED_OVER)
    }

    async fn ask_peer(&self, number: u32, id: &Arc<str>) -> Option<Bytes> {
        let place = peers::place(&self.agent.node, id)?;
        let weights = named(&self.weights);
        let name = PieceName { weights, number };
        let dialer = &self.agent.node.dialer;
        let has = dialer.ask(place, Question::Has(name.clone()), HAS).await;
        if let Err(error) = has {
            if !matches!(error, LinkError::Failed(_)) {
                self.slow.borrow_mut().insert(id.clone(), Instant::now());
            }
            return None;
        }
        self.yield_to_newer().await;
        let _slot = Slot::take(self).await;
        let asked = self.agent.node.clock.now();
        let question = Question::Piece(name);
        match dialer
            .ask_patiently(place, question, PEER, PEER_SILENT)
            .await
        {
            Ok(Reply::Piece(bytes)) => {
                let now = self.agent.node.clock.now();
                self.window.borrow_mut().arrived(asked, now);
                Some(bytes)
            }
            Err(LinkError::Timeout | LinkError::Broken { .. }) => {
                self.window.borrow_mut().stalled();
                self.slow.borrow_mut().insert(id.clone(), Instant::now());
                None
            }
            _ => None,
        }
    }

    /// Whether one of the owners has the piece: then it comes from there, and the origin's link is
    /// left to those pieces that nobody has.
    async fn has_any(&self, number: u32, owners: &[Arc<str>]) -> bool {
        let asked = owners.iter().map(|id| async move {
            let Some(place) = peers::place(&self.agent.node, id) else {
                return false;
            };
            let weights = named(&self.weights);
            let question = Question::HasNow(PieceName { weights, number });
            let answer = self.agent.node.dialer.ask(place, question, HAS_NOW).await;
            answer.is_ok()
        });
        let answers = futures_util::future::join_all(asked).await;
        answers.contains(&true)
    }

    /// Ends when the piece came, or when what came was wrong too often.
    async fn ask_origin(&self, set: &Rc<Set>, number: u32, wrong: &Cell<u32>) {
        loop {
            self.yield_to_newer().await;
            let plan = self.plan(number);
            let after = Duration::from(plan.origin_after);
            let spent = self.began.elapsed();
            if spent < after {
                sleep(after.saturating_sub(spent).min(PAUSE)).await;
                continue;
            }
            if self.has_any(number, &plan.owners).await {
                sleep(HAS_AGAIN).await;
                continue;
            }
            let Ok(slot) = self.origin_slots.acquire().await else {
                return;
            };
            let fetched = piece_of_origin(&self.agent, set, number).await;
            drop(slot);
            if let Some(bytes) = fetched {
                if set.put(number, bytes) {
                    return;
                }
                wrong.set(wrong.get() + 1);
                info!("piece of the origin is wrong", kv: { number = number });
                if wrong.get() >= WRONG {
                    return;
                }
            }
            sleep(PAUSE).await;
        }
    }
}

async fn list_of_peer(agent: &Rc<Agent>, weights: &Holding, id: &str) -> Option<PieceList> {
    let place = peers::place(&agent.node, id)?;
    let question = Question::Manifest(named(weights));
    let reply = agent.node.dialer.ask(place, question, LIST).await.ok()?;
    let Reply::Manifest(manifest) = reply else {
        return None;
    };
    let digests = manifest.digests.chunks_exact(32);
    let digests = digests.filter_map(|digest| digest.try_into().ok());
    Some(PieceList {
        weights: weights.clone(),
        bytes: manifest.bytes,
        digests: digests.collect(),
    })
}

async fn list_of_origin(agent: &Rc<Agent>, weights: &Holding) -> Option<PieceList> {
    let origin = origin(agent)?;
    let answer = call(origin, ask_manifest(weights), LONGEST_LIST, LIST).await;
    let read = answer
        .map_err(|e| e.to_string())
        .and_then(|body| read_manifest(&body).map_err(|e| e.to_string()));
    match read {
        Ok(list) if list.weights == *weights && !list.digests.is_empty() => Some(list),
        Ok(_) => None,
        Err(error) => {
            info!("list of pieces not fetched", kv: { version = weights.version, error = error });
            None
        }
    }
}

async fn piece_of_origin(agent: &Rc<Agent>, set: &Rc<Set>, number: u32) -> Option<Bytes> {
    let longest = set.list.bytes as usize;
    let outgoing = ask_piece(&set.list.weights, number);
    match call(origin(agent)?, outgoing, longest, ORIGIN).await {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            info!("piece not fetched from the origin",
                kv: { number = number, error = error.to_string() });
            None
        }
    }
}

fn origin(agent: &Agent) -> Option<SocketAddr> {
    agent.node.declared.origins().first().copied()
}

fn named(weights: &Holding) -> Weights {
    Weights {
        model: weights.model.to_string(),
        version: weights.version,
    }
}
