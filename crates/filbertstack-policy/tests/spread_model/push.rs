//! Ways without a choice: who sends what to whom is fixed beforehand.

use std::collections::VecDeque;

use super::Faults;
use super::Outcome;
use super::Setting;
use super::count;
use super::real;

/// A fixed way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// Every target gets all from the origin.
    Origin,
    /// A binary tree in which a target passes a copy on once it has the whole.
    Tree,
    /// A chain in which a target passes each chunk on as it comes.
    Chain,
    /// As many trees as given, each for one stripe of the chunks; a target passes chunks on in
    /// one of them only, to as many children.
    Stripes(usize),
}

struct Sender {
    queue: VecDeque<(usize, u32)>,
    held: usize,
    done: Option<u64>,
}

/// Runs a fixed way; of the faults, only the loss of instances.
///
/// Nobody takes the place of one that is lost: the run ends when nothing moves any more.
pub fn run(way: Push, setting: &Setting) -> Outcome {
    let n = setting.targets;
    let chunks = setting.chunks;
    let mut origin: VecDeque<(usize, u32)> = first(way, n, chunks);
    let sent = origin.len();
    let fresh = || Sender {
        queue: VecDeque::new(),
        held: 0,
        done: None,
    };
    let mut senders: Vec<Sender> = (0..n).map(|_| fresh()).collect();
    let mut round = 0;
    let mut lost = vec![false; n];
    let mut still = 0;
    while still < n && senders.iter().any(|sender| sender.done.is_none()) {
        if setting.faults == Faults::Mixed && round == setting.midway() {
            for at in (7..n).step_by(20) {
                lost[at] = true;
                senders[at].queue.clear();
            }
        }
        let busy = senders.iter().map(|sender| !sender.queue.is_empty());
        let mut links = Links::new(setting, busy.collect());
        let turn = usize::try_from(round).unwrap();
        let mut arrived = Vec::new();
        for _ in 0..setting.origin() {
            let own = |to, chunk| way.is_turn(to, chunk, turn) && links.receive(to);
            arrived.extend(take(&mut origin, own));
        }
        // Whoever begins differs from round to round, so that no target is always last.
        for at in (0..n).map(|at| (at + turn) % n) {
            let queue = &mut senders[at].queue;
            while links.can_send(at) {
                let own = |to, chunk| way.is_turn(to, chunk, turn) && links.receive(to);
                let Some(sent) = take(queue, own) else {
                    break;
                };
                links.sent[at] += 1;
                arrived.push(sent);
            }
        }
        round += 1;
        still = if arrived.is_empty() { still + 1 } else { 0 };
        for (to, chunk) in arrived.into_iter().filter(|&(to, _)| !lost[to]) {
            let sender = &mut senders[to];
            sender.held += 1;
            let whole = sender.held == chunks as usize;
            sender.done = whole.then_some(round).or(sender.done);
            sender.queue.extend(next(way, n, chunks, to, chunk, whole));
        }
    }
    let done = senders.iter().filter_map(|sender| sender.done);
    let time = real(done.max().unwrap_or(round)) / setting.window();
    let without = senders.iter().zip(&lost);
    let without = without.filter(|(sender, lost)| sender.done.is_none() && !*lost);
    Outcome {
        without: without.count(),
        time,
        ratio: time / setting.floor(),
        slow: Some(time),
        origin: count(sent) / f64::from(chunks),
        ..Outcome::default()
    }
}

/// What the instances' links can still carry in a round.
struct Links {
    shared: bool,
    /// Who has something to send: on a shared link it leaves room for that.
    busy: Vec<bool>,
    received: Vec<u8>,
    sent: Vec<u8>,
}

impl Links {
    fn new(setting: &Setting, busy: Vec<bool>) -> Self {
        Self {
            shared: setting.shared,
            received: vec![0; busy.len()],
            sent: vec![0; busy.len()],
            busy,
        }
    }

    fn receive(&mut self, at: usize) -> bool {
        let most = if self.shared && !self.busy[at] { 2 } else { 1 };
        let room = self.received[at] < most;
        self.received[at] += u8::from(room);
        room
    }

    fn can_send(&self, at: usize) -> bool {
        let most = if self.shared {
            2 - self.received[at]
        } else {
            1
        };
        self.sent[at] < most
    }
}

type Sends = VecDeque<(usize, u32)>;

fn take(queue: &mut Sends, mut fits: impl FnMut(usize, u32) -> bool) -> Option<(usize, u32)> {
    let at = queue.iter().position(|&(to, chunk)| fits(to, chunk))?;
    queue.remove(at)
}

impl Push {
    /// Whether it is a target's turn to get a chunk of this stripe: it gets one of each stripe in
    /// as many rounds as there are stripes, each in a round of its own, and so do siblings.
    fn is_turn(self, to: usize, chunk: u32, turn: usize) -> bool {
        let Self::Stripes(stripes) = self else {
            return true;
        };
        (to + stripe(chunk, stripes)) % stripes == turn % stripes
    }
}

/// What the origin sends, in order.
fn first(way: Push, n: usize, chunks: u32) -> VecDeque<(usize, u32)> {
    let all = 0..chunks;
    match way {
        Push::Origin => all
            .flat_map(|chunk| (0..n).map(move |to| (to, chunk)))
            .collect(),
        Push::Tree | Push::Chain => all.map(|chunk| (0, chunk)).collect(),
        Push::Stripes(stripes) => all
            .map(|chunk| (place(n, stripes, stripe(chunk, stripes), 0), chunk))
            .collect(),
    }
}

/// What a target sends on when a chunk has come.
fn next(way: Push, n: usize, chunks: u32, at: usize, chunk: u32, whole: bool) -> Vec<(usize, u32)> {
    match way {
        Push::Origin => Vec::new(),
        Push::Chain => (at + 1 < n)
            .then_some((at + 1, chunk))
            .into_iter()
            .collect(),
        Push::Tree => {
            let children = (2 * at + 1..=2 * at + 2).filter(|&child| whole && child < n);
            let copies = (0..chunks).flat_map(|chunk| children.clone().map(move |to| (to, chunk)));
            copies.collect()
        }
        Push::Stripes(stripes) => {
            let stripe = stripe(chunk, stripes);
            let rank = rank(n, stripes, stripe, at);
            let children = (stripes * rank + 1..=stripes * rank + stripes).filter(|&c| c < n);
            children
                .map(|rank| (place(n, stripes, stripe, rank), chunk))
                .collect()
        }
    }
}

fn stripe(chunk: u32, stripes: usize) -> usize {
    chunk as usize % stripes
}

/// The target at `rank` of a stripe's tree: each tree is the same heap over the targets turned by
/// a part of their number, so that the inner ones of two trees differ.
fn place(n: usize, stripes: usize, stripe: usize, rank: usize) -> usize {
    (rank + stripe * n.div_ceil(stripes)) % n
}

fn rank(n: usize, stripes: usize, stripe: usize, at: usize) -> usize {
    (at + n * stripes - stripe * n.div_ceil(stripes)) % n
}
