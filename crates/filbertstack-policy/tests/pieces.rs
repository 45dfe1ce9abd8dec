//! Tests of the owners of pieces and the order in which nodes ask for them.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::pieces::OriginCase;
use filbertstack_policy::pieces::OwnerMap;
use filbertstack_policy::pieces::OwnersAnswer;
use filbertstack_policy::pieces::Peer;
use filbertstack_policy::pieces::PieceRole;
use filbertstack_policy::pieces::Window;
use filbertstack_policy::pieces::Yields;
use filbertstack_policy::pieces::may_ask_for_list;
use filbertstack_policy::pieces::may_ask_origin;
use filbertstack_policy::pieces::origin_silence;
use filbertstack_policy::pieces::which_yields;

const PIECES: u32 = 48;

fn peers(role: &str, zones: usize, in_zone: usize) -> Vec<Peer> {
    let all = (0..zones).flat_map(|zone| (0..in_zone).map(move |n| (zone, n)));
    let peers = all.map(|(zone, n)| Peer {
        id: format!("{role} {zone}-{n}").into(),
        zone: format!("z{zone}").into(),
    });
    peers.collect()
}

fn entries(zones: usize, in_zone: usize) -> Vec<Peer> {
    peers("entry", zones, in_zone)
}

fn layout(own: &Peer, entries: &[Peer], holders: &[Peer]) -> OwnerMap {
    OwnerMap::new(&own.id, &own.zone, entries, holders, PIECES)
}

fn layouts(entries: &[Peer]) -> Vec<(&Peer, OwnerMap)> {
    let layout = |p| (p, layout(p, entries, &[]));
    entries.iter().map(layout).collect()
}

/// Returns the primary owner of each piece.
fn owners(entries: &[Peer]) -> Vec<Arc<str>> {
    let layouts = layouts(entries);
    let owner = |piece| {
        let mut leading = layouts.iter().filter(|(_, l)| l.is_primary(piece));
        leading.next().map(|(p, _)| p.id.clone()).expect("an owner")
    };
    (0..PIECES).map(owner).collect()
}

/// Guards against agents that each pull a copy through the origin's link. For 20 agents in three zones
/// that would be 20 copies one after another. With owners, one entry asks for each piece at once, and
/// every agent knows an entry that will have it.
#[test]
fn only_the_primary_owner_asks_the_origin_at_once() {
    for (zones, in_zone) in [(1, 1), (1, 2), (3, 4), (3, 7), (4, 15)] {
        let entries = entries(zones, in_zone);
        let agents = peers("agent", zones, 7);
        let agents = agents.iter().map(|a| (a, layout(a, &entries, &[])));
        let layouts: Vec<_> = layouts(&entries).into_iter().chain(agents).collect();
        for piece in 0..PIECES {
            let plans: Vec<_> = layouts.iter().map(|(_, l)| l.plan(piece)).collect();
            let owners = plans.iter().filter(|p| p.origin_after == Millis::ZERO);
            assert_eq!(
                owners.count(),
                1,
                "{zones} zones of {in_zone}, piece {piece}"
            );
            let lost = plans.iter().filter(|p| {
                p.origin_after > Millis::ZERO && p.first.is_empty() && p.fallback.is_empty()
            });
            assert_eq!(lost.count(), 0, "every other node has a node to ask");
        }
    }
}

/// Guards against agents that pass pieces on over the narrow link which they need for their callers'
/// events. While no engine holds the version, no node asks an agent for a piece.
#[test]
fn agents_are_not_asked_for_a_new_version() {
    let entries = entries(3, 4);
    let agents = peers("agent", 3, 7);
    for node in entries.iter().chain(&agents) {
        let layout = layout(node, &entries, &[]);
        for piece in 0..PIECES {
            let plan = layout.plan(piece);
            let asked = [plan.first, plan.fallback, plan.likely_holders].concat();
            assert!(asked.iter().all(|id| id.starts_with("entry")), "{asked:?}");
        }
    }
}

/// Guards against an entry that owns too many pieces, as all agents of its zone would wait for its
/// link. An entry owns at most one piece above an even share.
#[test]
fn owners_share_the_pieces_evenly() {
    for (zones, in_zone, most) in [(3, 7, 4), (3, 4, 5), (1, 3, 17), (4, 15, 2)] {
        let mut owned: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for owner in owners(&entries(zones, in_zone)) {
            *owned.entry(owner).or_default() += 1;
        }
        assert!(owned.values().all(|n| *n <= most), "{owned:?}");
    }
}

/// Guards against many pieces changing their owner when an entry ends during a transfer. If pieces were
/// assigned by the entries' index, nearly all would change theirs, and the new owners would ask the
/// origin for what the old ones have. Here the entry's own pieces move, and at most a quarter of all
/// pieces.
#[test]
fn an_entry_that_ends_moves_few_pieces_of_others() {
    let entries = entries(3, 4);
    let before = owners(&entries);
    for lost in &entries {
        let left: Vec<Peer> = entries
            .iter()
            .filter(|p| p.id != lost.id)
            .cloned()
            .collect();
        let after = owners(&left);
        let own = before.iter().filter(|owner| **owner == lost.id).count();
        let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
        assert!(moved <= 12, "{moved} moved for {own} of {}", lost.id);
    }
}

/// Guards against a piece that is lost because its owner freezes just after the version was named, and
/// the origin fails 2.5 s later. The backup owner asks the origin after a second. The pieces of one
/// lost owner have different backup owners.
#[test]
fn a_backup_owner_replaces_a_lost_primary_owner() {
    let entries = entries(3, 7);
    let layouts = layouts(&entries);
    for piece in 0..PIECES {
        let plans = layouts.iter().map(|(_, l)| l.plan(piece));
        let soon = plans.filter(|p| p.origin_after <= Millis(1_500)).count();
        assert_eq!(soon, 2, "piece {piece}");
    }
}

/// Guards against needless requests to the origin, whose bytes are paid for and which may have failed.
/// An owner that restarts during a rollout has lost its pieces, but the owners in other zones still
/// have them. It asks those first.
#[test]
fn an_owner_asks_other_zones_before_the_origin() {
    let entries = entries(3, 4);
    for (own, layout) in layouts(&entries) {
        for piece in (0..PIECES).filter(|piece| layout.is_primary(*piece)) {
            let before = layout.plan(piece).likely_holders;
            let zones = entries.iter().filter(|p| before.contains(&p.id));
            let elsewhere = zones.filter(|p| p.zone != own.zone).count();
            assert!(elsewhere >= 2, "piece {piece} of {}: {before:?}", own.id);
        }
    }
}

/// Guards against all agents of a zone asking other zones for the same piece, so that the link between
/// regions carries seven copies. Only the zone's owner asks there at once.
#[test]
fn one_entry_per_zone_asks_other_zones() {
    let entries = entries(3, 7);
    let agents = peers("agent", 3, 7);
    let layouts = layouts(&entries);
    for piece in 0..PIECES {
        for zone in ["z0", "z1", "z2"] {
            let here = layouts.iter().filter(|(p, _)| &*p.zone == zone);
            let outside = here.filter(|(_, l)| {
                let plan = l.plan(piece);
                plan.fallback_after == Millis::ZERO && !l.is_primary(piece)
            });
            let led = layouts
                .iter()
                .any(|(p, l)| &*p.zone == zone && l.is_primary(piece));
            assert!(outside.count() <= 1, "piece {piece} in {zone}");
            let agents = agents.iter().filter(|a| &*a.zone == zone);
            for agent in agents {
                let plan = layout(agent, &entries, &[]).plan(piece);
                assert_eq!(
                    plan.first.len(),
                    1,
                    "piece {piece} in {zone}, led here: {led}"
                );
                assert!(plan.fallback_after > Millis::ZERO);
            }
        }
    }
}

/// Guards against a copy from the origin when engines are added while others hold the version. The
/// owners ask those first, each piece once and spread over all holders; the new agents ask the entries.
#[test]
fn owners_ask_all_holders_evenly_before_the_origin() {
    let entries = entries(1, 3);
    let holders = peers("agent", 1, 8);
    let mut asked: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for own in &entries {
        let layout = layout(own, &entries, &holders);
        for piece in (0..PIECES).filter(|piece| layout.is_primary(*piece)) {
            let plan = layout.plan(piece);
            assert!(plan.origin_after > Millis::ZERO);
            *asked.entry(plan.first[0].clone()).or_default() += 1;
        }
    }
    assert_eq!(asked.len(), 8);
    assert!(asked.values().all(|n| *n <= 14), "{asked:?}");
    let newcomer = Peer {
        id: "agent new".into(),
        zone: "z0".into(),
    };
    let newcomer = layout(&newcomer, &entries, &holders);
    for piece in 0..PIECES {
        let near = newcomer.plan(piece).first;
        assert!(near.iter().all(|id| id.starts_with("entry")), "{near:?}");
    }
}

/// Guards against agents without a source when all entries have just restarted: they ask the agents
/// whose engines hold the version.
#[test]
fn agents_fall_back_to_holders() {
    let entries = entries(3, 4);
    let holders = peers("agent", 3, 2);
    let newcomer = Peer {
        id: "agent new".into(),
        zone: "z1".into(),
    };
    let layout = layout(&newcomer, &entries, &holders);
    for piece in 0..PIECES {
        let far = layout.plan(piece).fallback;
        let held = far.iter().filter(|id| id.starts_with("agent 1-")).count();
        assert_eq!(held, 2, "{far:?}");
    }
}

#[test]
fn owned_pieces_are_fetched_first() {
    let entries = entries(3, 4);
    for (_, layout) in layouts(&entries) {
        let order = layout.order(PIECES);
        let own: Vec<bool> = order.iter().map(|n| layout.is_primary(*n)).collect();
        let count = own.iter().filter(|own| **own).count();
        assert!(own[..count].iter().all(|own| *own), "{own:?}");
        let kept: Vec<bool> = order.iter().map(|n| layout.is_owner(*n)).collect();
        let count = kept.iter().filter(|kept| **kept).count();
        assert!(kept[..count].iter().all(|kept| *kept), "{kept:?}");
        let mut sorted = order.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, (0..PIECES).collect::<Vec<_>>());
    }
}

/// Guards against requests to the engine that wait behind pieces on a link that slows from 9.4 to 1.2
/// Mbit/s. A piece then takes 330 ms alone and 1.3 s with four in transit. The window shrinks to one
/// and grows again later.
#[test]
fn a_narrow_link_gets_one_piece_at_a_time() {
    let mut window = Window::new(2);
    let mut now = Millis(1_000);
    for _ in 0..4 {
        let asked = now;
        now = now + Millis(42);
        window.arrived(asked, now);
    }
    assert!(window.size() >= 2);
    let asked = now;
    now = now + Millis(660);
    window.arrived(asked, now);
    assert_eq!(window.size(), 1);
    now = now + Millis(42);
    window.arrived(now, now);
    assert_eq!(window.size(), 2);
    window.stalled();
    assert_eq!(window.size(), 1);
}

/// Guards against two pieces in transit on a link that takes a third of a second for each: a request
/// behind both reaches the engine after its caller's goal, and after an older version's end.
#[test]
fn a_link_that_takes_a_third_of_a_second_gets_one_piece_at_a_time() {
    let mut window = Window::new(2);
    let (first, second) = (Millis(1_000), Millis(1_000));
    window.arrived(first, Millis(1_330));
    window.arrived(second, Millis(1_660));
    assert_eq!(window.size(), 1);
}

/// The part of a copy that the origin's link carries in a millisecond: a whole copy takes 2.1 s.
const COPIES_PER_MS: f64 = 1.0 / 2_100.0;

/// Simulates two versions that are named `gap` apart and an origin that fails half a second after the
/// second. Returns how much of each has arrived by then, with `decide` choosing which yields.
fn fetched(gap: u64, decide: impl Fn(Millis, Millis, bool, bool) -> Yields) -> [f64; 2] {
    let mut arrived = [0.0_f64; 2];
    for now in 0..gap + 500 {
        let second = now >= gap;
        let newer = Millis(now.saturating_sub(gap));
        let yields = if second {
            decide(
                Millis(now),
                newer,
                arrived[0] >= 1.0,
                arrived[1] > 0.0 || newer > Millis(100),
            )
        } else {
            Yields::None
        };
        let fetching = [
            arrived[0] < 1.0 && yields != Yields::Older,
            second && yields != Yields::Newer,
        ];
        let share =
            COPIES_PER_MS / f64::from(u8::from(fetching[0]) + u8::from(fetching[1])).max(1.0);
        for (arrived, fetching) in arrived.iter_mut().zip(fetching) {
            *arrived += if fetching { share } else { 0.0 };
        }
    }
    arrived
}

/// Guards against two incomplete versions when the second is named before the first is complete, and
/// the origin fails half a second later. Engines on an earlier version are soon out of use, so one of
/// the two must be complete. With the newer one first, the older lacks its last pieces.
#[test]
fn a_nearly_complete_version_is_finished_before_the_origin_fails() {
    for gap in [1_700, 1_900, 2_000, 2_050] {
        let finished = fetched(gap, which_yields);
        assert!(finished[0] >= 1.0, "gap {gap}: {finished:?}");
        let newer_first = fetched(gap, |_, _, held, arriving| {
            if arriving && !held {
                Yields::Older
            } else {
                Yields::None
            }
        });
        assert!(newer_first[0] < 1.0, "gap {gap}: {newer_first:?}");
    }
}

/// Guards against fetching two versions that are named in quick succession: the older yields. One whose
/// origin fails does not delay the newer for long, and one that is complete does not delay it at all.
#[test]
fn a_version_begun_a_moment_ago_yields() {
    let secs = Millis::secs;
    assert_eq!(
        which_yields(Millis(500), Millis(100), false, true),
        Yields::Older
    );
    assert_eq!(which_yields(secs(5), secs(3), false, true), Yields::Older);
    assert_eq!(which_yields(secs(5), secs(3), false, false), Yields::None);
    assert_eq!(
        which_yields(Millis(2_100), Millis(100), true, true),
        Yields::None
    );
}

/// Guards against pieces that the origin sends twice. 48 pieces share its link, and all arrive towards
/// the end of a copy's time, while the backup owners would ask for them from one second on. A frozen
/// owner is replaced at once, and one that makes no progress after some seconds. Agents ask only where
/// no owner answers, as dozens of them would take up the origin's link.
#[test]
fn other_nodes_do_not_ask_the_origin_while_the_owner_answers() {
    let asked = |role, elapsed: u64, answers: bool| {
        may_ask_origin(OriginCase {
            role,
            owner_answers: answers,
            elapsed: Millis(elapsed),
            since_failure: None,
        })
    };
    assert!(!asked(PieceRole::Backup, 1_100, true) && !asked(PieceRole::Backup, 3_400, true));
    assert!(
        asked(PieceRole::Backup, 1_100, false),
        "the owner is frozen"
    );
    assert!(
        asked(PieceRole::Backup, 3_500, true),
        "the owner makes no progress"
    );
    assert!(!asked(PieceRole::Reader, 60_000, true) && asked(PieceRole::Reader, 3_500, false));
    assert!(asked(PieceRole::Primary, 0, true), "its own piece");
}

/// Guards against lists that every entry asks the origin for on a busy machine, as its first questions got no answer in
/// time. Only where the owners no longer keep the version does each node ask.
#[test]
fn silent_owners_of_a_list_get_the_time_that_they_get_for_a_piece() {
    let asks_from = |answer, role| {
        let asked = (0..100).map(|tenths| Millis(tenths * 100));
        let case = |elapsed| OriginCase {
            role,
            owner_answers: answer != OwnersAnswer::Silent,
            elapsed,
            since_failure: None,
        };
        let mut asked = asked.filter(|elapsed| may_ask_for_list(answer, case(*elapsed)));
        asked.next().map(|from| from.0)
    };
    for (answer, backup, reader) in [
        (OwnersAnswer::Silent, Some(1_000), Some(3_500)),
        (OwnersAnswer::NotYet, Some(3_500), None),
        (OwnersAnswer::NotKept, Some(0), Some(0)),
    ] {
        assert_eq!(asks_from(answer, PieceRole::Backup), backup, "{answer:?}");
        assert_eq!(asks_from(answer, PieceRole::Reader), reader, "{answer:?}");
        assert_eq!(asks_from(answer, PieceRole::Primary), Some(0));
    }
}

/// Guards against backup owners that all ask the origin at the moment it returns, as no owner has made
/// progress while it failed.
#[test]
fn backup_owners_leave_a_returned_origin_to_the_owners() {
    let asked = |since_failure: u64, answers: bool| {
        may_ask_origin(OriginCase {
            role: PieceRole::Backup,
            owner_answers: answers,
            elapsed: Millis(9_000),
            since_failure: Some(Millis(since_failure)),
        })
    };
    assert!(
        !asked(100, true) && !asked(2_200, true),
        "a copy takes 2.1 s"
    );
    assert!(asked(3_500, true), "the owner makes no progress");
    assert!(asked(100, false), "the owner is gone");
}

/// Returns how many copies the origin's link carries until all pieces of two versions have arrived, when all
/// are asked for at once and the link is shared evenly. A piece that takes longer than `patience` is asked
/// for again, and what was sent of it is lost.
fn copies_carried(patience: Millis) -> f64 {
    const COPY_MS: u64 = 2_100;
    let per_ms = f64::from(PIECES) / f64::from(u32::try_from(COPY_MS).expect("some seconds"));
    // Each of the two versions' pieces: the part that has arrived, and when it was asked for.
    let mut pieces = vec![(0.0_f64, 0_u64); 2 * PIECES as usize];
    let mut carried = 0.0;
    for now in 0..30_000 {
        let missing = pieces.iter().filter(|(part, _)| *part < 1.0).count();
        if missing == 0 {
            break;
        }
        let share = per_ms / f64::from(u32::try_from(missing).expect("few"));
        for (part, asked) in pieces.iter_mut().filter(|(part, _)| *part < 1.0) {
            *part += share;
            carried += share;
            if *part < 1.0 && now - *asked >= patience.0 {
                (*part, *asked) = (0.0, now);
            }
        }
    }
    carried / f64::from(PIECES)
}

/// Guards against owners that give up an origin which sends two versions to all of them, and ask again for
/// what was on its way.
#[test]
fn owners_wait_while_the_origin_sends_two_copies() {
    let carried = copies_carried(origin_silence(Some(Millis(2_100))));
    assert!(carried <= 2.6, "{carried} copies for two versions");
    let impatient = copies_carried(Millis(2_500));
    assert!(impatient > 7.0, "{impatient} copies");
    assert_eq!(origin_silence(None), Millis(2_500));
    let never = origin_silence(Some(Millis(u64::MAX)));
    assert_eq!(never, Millis::secs(30), "a link that carries nothing");
}

/// Guards against agents that all fetch a piece from another zone at the moment it arrives there, although
/// the owner in their own zone is fetching it for them.
#[test]
fn agents_wait_for_the_owner_in_their_zone_alone() {
    let agent = peers("agent", 3, 1).remove(0);
    let plan = layout(&agent, &entries(3, 4), &[]).plan(7);
    let owner = plan.first[0].clone();
    let asked = |silent: bool| {
        let nodes = plan
            .clone()
            .nodes_to_ask(Millis::secs(9), |id| silent && id == &*owner);
        let waits: Vec<bool> = nodes.iter().map(|asked| asked.waits).collect();
        (nodes[0].id == owner, waits)
    };
    let (first, waits) = asked(false);
    assert!(first && waits[0] && !waits[1..].is_empty(), "{waits:?}");
    assert!(waits[1..].iter().all(|waits| !waits), "{waits:?}");
    let (first, waits) = asked(true);
    assert!(!first && waits.iter().all(|waits| *waits), "{waits:?}");
}
