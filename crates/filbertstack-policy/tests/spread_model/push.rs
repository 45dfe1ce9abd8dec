//! Strategies without decisions at run time: each sender's receivers and chunks are fixed in
//! advance.

use std::collections::VecDeque;

use super::Faults;
use super::Outcome;
use super::Setting;
use super::u64_to_f64;
use super::usize_to_f64;

/// A fixed strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// Every target gets all chunks from the origin.
    Origin,
    /// In a binary tree, a target passes a copy on once it has the whole copy.
    Tree,
    /// In a chain, a target passes on each chunk as it arrives.
    Chain,
    /// There is a tree for each of this many stripes of the chunks. A target passes chunks on in
    /// only one of the trees, to as many children as there are stripes.
    Stripes(usize),
}

struct Sender {
    queue: VecDeque<(usize, u32)>,
    held: usize,
    done: Option<u64>,
}

/// Runs a fixed strategy. Of the faults, only the loss of instances applies.
///
/// No target takes the place of a lost one, so the run ends when there are no more transfers.
pub fn run(strategy: Push, setting: &Setting) -> Outcome {
    let n = setting.targets;
    let chunks = setting.chunks;
    let mut origin: VecDeque<(usize, u32)> = origin_sends(strategy, n, chunks);
    let sent = origin.len();
    let new_sender = || Sender {
        queue: VecDeque::new(),
        held: 0,
        done: None,
    };
    let mut senders: Vec<Sender> = (0..n).map(|_| new_sender()).collect();
    let mut round = 0;
    let mut lost = vec![false; n];
    let mut idle_rounds = 0;
    while idle_rounds < n && senders.iter().any(|sender| sender.done.is_none()) {
        if setting.faults == Faults::Mixed && round == setting.loss_round() {
            for at in (7..n).step_by(20) {
                lost[at] = true;
                senders[at].queue.clear();
            }
        }
        let busy = senders.iter().map(|sender| !sender.queue.is_empty());
        let mut links = Links::new(setting, busy.collect());
        let turn = usize::try_from(round).unwrap();
        let mut arrived = Vec::new();
        for _ in 0..setting.origin_capacity() {
            let fits = |to, chunk| strategy.is_turn(to, chunk, turn) && links.try_receive(to);
            arrived.extend(take(&mut origin, fits));
        }
        // The first sender differs from round to round, so that no target is always the last.
        for at in (0..n).map(|at| (at + turn) % n) {
            let queue = &mut senders[at].queue;
            while links.can_send(at) {
                let fits = |to, chunk| strategy.is_turn(to, chunk, turn) && links.try_receive(to);
                let Some(sent) = take(queue, fits) else {
                    break;
                };
                links.sent[at] += 1;
                arrived.push(sent);
            }
        }
        round += 1;
        idle_rounds = if arrived.is_empty() {
            idle_rounds + 1
        } else {
            0
        };
        for (to, chunk) in arrived.into_iter().filter(|&(to, _)| !lost[to]) {
            let sender = &mut senders[to];
            sender.held += 1;
            let complete = sender.held == chunks as usize;
            sender.done = complete.then_some(round).or(sender.done);
            sender
                .queue
                .extend(forwards(strategy, n, chunks, to, chunk, complete));
        }
    }
    let done = senders.iter().filter_map(|sender| sender.done);
    let time = u64_to_f64(done.max().unwrap_or(round)) / setting.window();
    let incomplete = senders.iter().zip(&lost);
    let incomplete = incomplete.filter(|(sender, lost)| sender.done.is_none() && !*lost);
    Outcome {
        incomplete: incomplete.count(),
        time,
        ratio: time / setting.floor(),
        time_with_slow: Some(time),
        origin_copies: usize_to_f64(sent) / f64::from(chunks),
        ..Outcome::default()
    }
}

/// The use of the instances' links in the current round.
struct Links {
    shared: bool,
    /// The instances with chunks to send. On a shared link they leave room for sending.
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

    fn try_receive(&mut self, at: usize) -> bool {
        let limit = if self.shared && !self.busy[at] { 2 } else { 1 };
        let room = self.received[at] < limit;
        self.received[at] += u8::from(room);
        room
    }

    fn can_send(&self, at: usize) -> bool {
        let limit = if self.shared {
            2 - self.received[at]
        } else {
            1
        };
        self.sent[at] < limit
    }
}

type SendQueue = VecDeque<(usize, u32)>;

fn take(queue: &mut SendQueue, mut fits: impl FnMut(usize, u32) -> bool) -> Option<(usize, u32)> {
    let at = queue.iter().position(|&(to, chunk)| fits(to, chunk))?;
    queue.remove(at)
}

impl Push {
    /// Returns whether a target may get a chunk of this stripe in this round. Within as many rounds
    /// as there are stripes, a target gets one chunk of each stripe, each in a round of its own,
    /// and siblings do so too.
    fn is_turn(self, to: usize, chunk: u32, turn: usize) -> bool {
        let Self::Stripes(stripes) = self else {
            return true;
        };
        (to + stripe(chunk, stripes)) % stripes == turn % stripes
    }
}

/// Returns the chunks that the origin sends, in order.
fn origin_sends(strategy: Push, n: usize, chunks: u32) -> VecDeque<(usize, u32)> {
    let all = 0..chunks;
    match strategy {
        Push::Origin => all
            .flat_map(|chunk| (0..n).map(move |to| (to, chunk)))
            .collect(),
        Push::Tree | Push::Chain => all.map(|chunk| (0, chunk)).collect(),
        Push::Stripes(stripes) => all
            .map(|chunk| (target_at(n, stripes, stripe(chunk, stripes), 0), chunk))
            .collect(),
    }
}

/// Returns the chunks that a target passes on when a chunk has arrived.
fn forwards(
    strategy: Push,
    n: usize,
    chunks: u32,
    at: usize,
    chunk: u32,
    complete: bool,
) -> Vec<(usize, u32)> {
    match strategy {
        Push::Origin => Vec::new(),
        Push::Chain => (at + 1 < n)
            .then_some((at + 1, chunk))
            .into_iter()
            .collect(),
        Push::Tree => {
            let children = (2 * at + 1..=2 * at + 2).filter(|&child| complete && child < n);
            let copies = (0..chunks).flat_map(|chunk| children.clone().map(move |to| (to, chunk)));
            copies.collect()
        }
        Push::Stripes(stripes) => {
            let stripe = stripe(chunk, stripes);
            let rank = rank_of(n, stripes, stripe, at);
            let children = (stripes * rank + 1..=stripes * rank + stripes).filter(|&c| c < n);
            children
                .map(|rank| (target_at(n, stripes, stripe, rank), chunk))
                .collect()
        }
    }
}

fn stripe(chunk: u32, stripes: usize) -> usize {
    chunk as usize % stripes
}

/// Returns the target at `rank` of a stripe's tree. All trees are the same heap, rotated over the
/// targets by a fraction of their number, so that two trees have different inner targets.
fn target_at(n: usize, stripes: usize, stripe: usize, rank: usize) -> usize {
    (rank + stripe * n.div_ceil(stripes)) % n
}

fn rank_of(n: usize, stripes: usize, stripe: usize, at: usize) -> usize {
    (at + n * stripes - stripe * n.div_ceil(stripes)) % n
}
